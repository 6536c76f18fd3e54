//! Fault injection. Each line on the fault port is a JSON object that replaces all faults; `{"counters":true}`
//! returns the counters, the role, the term and the position instead.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::instance::Instance;

/// The faults in force. The default is no fault.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Connections stay open, but nothing is answered.
    pub silent: bool,
    /// Failure domains that are cut off: connections whose application name ends in `/DOMAIN` and followers in
    /// that domain are not served.
    pub cut: Vec<String>,
    /// Overrides the lag in the settings.
    pub lag_ms: Option<u64>,
    /// Delays every answer by this time.
    pub late_ms: u64,
    /// How many of the next writing transactions are committed, but lose their connection before the answer.
    pub lose_after_commit: u32,
    /// Connections that are open when the fault is set get no more answers; new ones work.
    pub half_open: bool,
    /// Every n-th answer of each connection is sent a second time; 0 for none.
    pub twice_every: u32,
    /// How long after the first time an answer is sent the second time.
    pub twice_ms: u64,
}

/// A line on the fault port.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Command {
    Counters { counters: bool },
    Fault(Fault),
}

/// The faults of an instance.
#[derive(Debug)]
pub struct Faults {
    lag: Duration,
    fault: Mutex<Fault>,
    /// Connections with a lower process id are half-open.
    first_live_process_id: AtomicI32,
}

impl Faults {
    pub fn new(lag: Duration) -> Self {
        Self { lag, fault: Mutex::new(Fault::default()), first_live_process_id: AtomicI32::new(0) }
    }

    /// Returns the replication lag: the fault if set, else the setting.
    pub fn lag(&self) -> Duration {
        self.fault.lock().unwrap().lag_ms.map_or(self.lag, Duration::from_millis)
    }

    /// Returns whether connections from `domain` are to get no answer.
    pub fn is_cut(&self, domain: &str) -> bool {
        let fault = self.fault.lock().unwrap();
        fault.silent || fault.cut.iter().any(|cut| cut == domain)
    }

    pub fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.fault.lock().unwrap().late_ms)
    }

    /// Returns whether to drop the answer of this commit, and counts the commit against the fault.
    pub fn take_lost_commit(&self) -> bool {
        let mut fault = self.fault.lock().unwrap();
        let lose = fault.lose_after_commit > 0;
        fault.lose_after_commit = fault.lose_after_commit.saturating_sub(1);
        lose
    }

    /// Returns how long after the n-th answer of a connection it is sent a second time, if it is.
    pub fn second_answer(&self, n: u32) -> Option<Duration> {
        let fault = self.fault.lock().unwrap();
        let is_due = fault.twice_every > 0 && n.is_multiple_of(fault.twice_every);
        is_due.then(|| Duration::from_millis(fault.twice_ms))
    }

    /// Returns whether the connection with this process id is half-open.
    pub fn is_half_open(&self, process_id: i32) -> bool {
        process_id < self.first_live_process_id.load(Ordering::SeqCst)
    }

    /// Replaces the faults; `next_process_id` is the id that the next connection will get.
    fn set(&self, fault: Fault, next_process_id: i32) {
        let first_live = if fault.half_open { next_process_id } else { 0 };
        self.first_live_process_id.store(first_live, Ordering::SeqCst);
        *self.fault.lock().unwrap() = fault;
    }
}

fn handle_line(instance: &Instance, line: &str) -> String {
    match serde_json::from_str(line) {
        Ok(Command::Counters { counters: true }) => match serde_json::to_string(&instance.report())
        {
            Ok(report) => format!("{report}\n"),
            Err(error) => format!("error: {error}\n"),
        },
        Ok(Command::Fault(fault)) => {
            instance.faults.set(fault, instance.next_process_id());
            "ok\n".to_owned()
        }
        Ok(Command::Counters { counters: false }) => "ok\n".to_owned(),
        Err(error) => format!("error: {error}\n"),
    }
}

/// Listens on the fault port, which is the listen port plus two.
pub fn spawn(instance: &Arc<Instance>) -> anyhow::Result<()> {
    let mut address = instance.settings.listen;
    address.set_port(address.port() + 2);
    let listener = TcpListener::bind(address)?;
    let instance = Arc::clone(instance);
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let Ok(reader) = socket.try_clone() else { continue };
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                let answer = handle_line(&instance, &line);
                let _ = socket.write_all(answer.as_bytes());
            }
        }
    });
    Ok(())
}
