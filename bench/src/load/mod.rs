//! The load generator: runs concurrent sessions against the proxies of a fleet and records their history.

mod action;
mod connection;
mod sampler;
mod session;

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactushatch::clock::Clock;
use serde::Serialize;

pub use action::Action;
pub use connection::{Connection, Reply};
pub use sampler::{Sampler, replica_share};

use crate::fleet::Fleet;
use crate::history::{Event, Record, Request};
use crate::standin::Counts;
use session::Session;

/// How often the counters of the instances are read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// How long requests may take to finish after the end of the load.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(15);

/// The size of the id range of each seed.
const IDS_PER_SEED: u64 = 10_000_000;

/// The name of the history file in the fleet's directory.
pub const HISTORY: &str = "history.jsonl";

/// The settings of a load.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The fleet's directory.
    pub dir: PathBuf,
    /// The number of concurrent sessions.
    pub sessions: usize,
    /// The number of additional callers per group and proxy that only write, without think time.
    pub probers: usize,
    /// How long new requests are sent.
    pub duration: Duration,
    /// The time over which the arrivals of the sessions are spread.
    pub ramp_up: Duration,
    /// The share of reads, in percent.
    pub read_percent: u32,
    /// How often a session moves to another proxy before a request, in percent.
    pub roam_percent: u32,
    /// How long a session waits between requests.
    pub think_time: Duration,
    /// The requests per second of an open-loop load, in which each request has a due time; a closed loop if `None`.
    pub rate: Option<u32>,
    /// The seed of all random choices and of the ids.
    pub seed: u64,
    /// The actions on the fleet during the load, in order of time.
    pub actions: Vec<Action>,
}

/// The totals of a load, printed as JSON for the scripts.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Summary {
    /// The number of requests that ended, with an answer or without.
    pub requests: u64,
    /// The sum of the instances' counters.
    pub counts: Counts,
    /// The share of reads that ran on replicas.
    pub replica_read_share: f64,
}

/// A running load.
pub struct Load {
    settings: Settings,
    fleet: Fleet,
    groups: Vec<String>,
    clock: Clock,
    start: u64,
    over: AtomicBool,
    ids: AtomicU64,
    requests: AtomicU64,
    history: Mutex<BufWriter<File>>,
    sampler: Sampler,
}

/// Runs a load and writes its history to the fleet's directory.
///
/// # Errors
///
/// Fails if the fleet can't be used or an action fails.
pub fn run(settings: Settings) -> anyhow::Result<Summary> {
    smol::block_on(async {
        let load = Arc::new(Load::open(settings).await?);
        load.sampler.sample_all(&load.fleet);
        let sampled_load = Arc::clone(&load);
        let sampler_thread = std::thread::spawn(move || {
            while !sampled_load.is_over() {
                sampled_load.sampler.sample_all(&sampled_load.fleet);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        let sessions = load.spawn();
        let actions_result = Arc::clone(&load).run_actions().await;
        load.sleep_until(load.start + load.settings.duration.as_micros() as u64).await;
        load.over.store(true, Ordering::SeqCst);
        let drained = async {
            for session in sessions {
                session.await;
            }
        };
        load.clock.timeout(DRAIN_TIMEOUT, drained).await;
        let _ = sampler_thread.join();
        load.sampler.sample_all(&load.fleet);
        actions_result?;
        load.history.lock().expect("nothing panics under this lock").flush()?;
        let counts = load.sampler.total();
        Ok(Summary {
            requests: load.requests.load(Ordering::SeqCst),
            counts,
            replica_read_share: replica_share(counts),
        })
    })
}

impl Load {
    async fn open(settings: Settings) -> anyhow::Result<Self> {
        let fleet = Fleet::open(&settings.dir)?;
        let groups = fleet.groups();
        for group in &groups {
            create_tables(&fleet, group).await?;
        }
        let history = BufWriter::new(File::create(settings.dir.join(HISTORY))?);
        let clock = Clock::system();
        Ok(Self {
            start: clock.now().0,
            fleet,
            groups,
            clock,
            over: AtomicBool::new(false),
            // Loads with different seeds on the same fleet must not use the same ids.
            ids: AtomicU64::new(settings.seed * IDS_PER_SEED + 1),
            requests: AtomicU64::new(0),
            history: Mutex::new(history),
            sampler: Sampler::default(),
            settings,
        })
    }

    fn spawn(self: &Arc<Self>) -> Vec<smol::Task<()>> {
        let probers = self.settings.probers * self.groups.len() * self.fleet.proxies.len();
        let count = self.settings.sessions + probers;
        (0..count).map(|number| smol::spawn(Session::new(Arc::clone(self), number).run())).collect()
    }

    async fn run_actions(self: Arc<Self>) -> anyhow::Result<()> {
        let mut last_process = String::new();
        for action in &self.settings.actions {
            self.sleep_until(self.start + action.after.as_micros() as u64).await;
            let name = match action.target.as_str() {
                "last" => last_process.clone(),
                target => action::resolve_target(&self.fleet, target)?,
            };
            last_process.clone_from(&name);
            if self.fleet.upstreams.contains_key(&name) {
                self.sampler.sample(&self.fleet, &name);
            }
            let at = self.now();
            let (fleet, operation) = (self.fleet.clone(), action.operation.clone());
            let process = name.clone();
            smol::unblock(move || action::execute(&fleet, &operation, &process)).await?;
            let address = self.proxy_address(&name);
            let group = self.fleet.group_of(&name);
            let what = action.operation.name().to_owned();
            self.write(&Record::Event(Event { at, what, target: name, address, group }));
        }
        Ok(())
    }

    fn proxy_address(&self, name: &str) -> String {
        let number = name.strip_prefix("proxy-").and_then(|number| number.parse::<usize>().ok());
        let address = number.and_then(|number| self.fleet.proxies.get(number - 1));
        address.map(ToString::to_string).unwrap_or_default()
    }

    fn is_prober(&self, number: usize) -> bool {
        number >= self.settings.sessions
    }

    /// Returns when a session sends its first request.
    fn arrival_time(&self, number: usize) -> u64 {
        let ramp_up = self.settings.ramp_up.as_micros() as u64;
        self.start + ramp_up * number as u64 / (self.settings.sessions.max(1) as u64)
    }

    /// Returns when the next request of a session is due; `None` in a closed loop.
    fn due_time(&self, number: usize, issued: u64) -> Option<u64> {
        let rate = u64::from(self.settings.rate?);
        let slot = issued * self.settings.sessions as u64 + number as u64;
        Some(self.start + slot * 1_000_000 / rate)
    }

    fn now(&self) -> u64 {
        self.clock.now().0
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }

    fn next_id(&self) -> u64 {
        self.ids.fetch_add(1, Ordering::Relaxed)
    }

    async fn sleep_until(&self, moment: u64) {
        self.clock.sleep_until(cactushatch::clock::Instant(moment)).await;
    }

    fn record(&self, request: Request) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.write(&Record::Request(request));
    }

    fn write(&self, record: &Record) {
        let line = serde_json::to_string(record).expect("records can be encoded");
        let mut history = self.history.lock().expect("nothing panics under this lock");
        if let Err(error) = writeln!(history, "{line}") {
            eprintln!("[bench error]: failed to write to the history: {error}");
        }
    }
}

async fn create_tables(fleet: &Fleet, group: &str) -> anyhow::Result<()> {
    let statements = [
        "CREATE TABLE IF NOT EXISTS entry (session TEXT, entry TEXT)",
        "CREATE INDEX IF NOT EXISTS entry_session ON entry (session)",
        "CREATE TABLE IF NOT EXISTS effect (effect TEXT)",
        "CREATE TABLE IF NOT EXISTS item (list INTEGER, tx TEXT, part INTEGER)",
        "CREATE INDEX IF NOT EXISTS item_list ON item (list)",
    ];
    let mut connection = Connection::open(fleet.proxies[0], group, "").await?;
    for statement in statements {
        match connection.query(statement).await? {
            Reply::Done(_) => {}
            Reply::Failed(response) => anyhow::bail!("{statement}: {}", response.message),
        }
    }
    Ok(())
}
