//! Faults on command: one JSON object a line on the fault port sets them all anew; `{"counters":true}` reads
//! the counters, the role and the position instead.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::instance::Instance;

/// The faults in force; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Nothing is answered, connections stay open.
    pub silent: bool,
    /// Connections whose application name ends in `/DOMAIN`, and followers of that domain, are not served.
    pub cut: Vec<String>,
    /// Replaces the settings' lag.
    pub lag_ms: Option<u64>,
    /// Every answer waits this long.
    pub late_ms: u64,
    /// How many of the next commits lose their answer with their connection.
    pub lose_after_commit: u32,
    /// The connections that are open now stay silent for good, new ones work.
    pub half_open: bool,
}

/// What a line on the fault port asks for.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Command {
    Counters { counters: bool },
    Fault(Fault),
}

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

    pub fn lag(&self) -> Duration {
        self.fault.lock().unwrap().lag_ms.map_or(self.lag, Duration::from_millis)
    }

    pub fn is_cut(&self, domain: &str) -> bool {
        let fault = self.fault.lock().unwrap();
        fault.silent || fault.cut.iter().any(|cut| cut == domain)
    }

    pub fn answer_delay(&self) -> Duration {
        Duration::from_millis(self.fault.lock().unwrap().late_ms)
    }

    /// Tells whether this commit's answer is to be lost.
    pub fn take_lost_commit(&self) -> bool {
        let mut fault = self.fault.lock().unwrap();
        let lose = fault.lose_after_commit > 0;
        fault.lose_after_commit = fault.lose_after_commit.saturating_sub(1);
        lose
    }

    /// Tells whether the connection with this process id has gone silent for good.
    pub fn is_half_open(&self, process_id: i32) -> bool {
        process_id < self.first_live_process_id.load(Ordering::SeqCst)
    }

    /// Puts faults in force; `next_process` is the id that the next connection gets.
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
