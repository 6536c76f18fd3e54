//! Sessions that write without a pause.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::{Caller, Group};

/// The item to which the writes go.
pub const ITEM: &str = "book";

/// The pause between an answer and the next write.
const WRITE_PAUSE: Duration = Duration::from_millis(5);

/// Writes over a session, and records the writes that are acknowledged. Opens another session only if the proxy closes
/// it.
#[derive(Debug)]
pub struct Load {
    /// When each write was acknowledged, and its data.
    acknowledged: Arc<Mutex<Vec<(Instant, String)>>>,
    ends: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Load {
    /// Starts to write data that begins with `name` over the proxy at `address`.
    pub fn start(address: SocketAddr, name: String) -> Self {
        let acknowledged = Arc::new(Mutex::new(Vec::new()));
        let ends = Arc::new(AtomicBool::new(false));
        let (shared, stop) = (Arc::clone(&acknowledged), Arc::clone(&ends));
        let thread = std::thread::spawn(move || {
            let mut session = Caller::connect(address, "desk", "me");
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let data = format!("{name}-{number}");
                match session.query(&format!("PUT {ITEM} {data}")) {
                    Some(answer) if answer.result.starts_with("DONE") => {
                        shared.lock().unwrap().push((Instant::now(), data));
                    }
                    Some(_) => {}
                    None => session = Caller::connect(address, "desk", "me"),
                }
                std::thread::sleep(WRITE_PAUSE);
            }
        });
        Self { acknowledged, ends, thread }
    }

    /// Returns the number of acknowledged writes.
    pub fn count(&self) -> usize {
        self.acknowledged.lock().unwrap().len()
    }

    /// Stops to write, and returns the acknowledged writes.
    pub fn stop(self) -> Vec<String> {
        self.stop_with_times().into_iter().map(|(_, data)| data).collect()
    }

    /// Stops to write, and returns the acknowledged writes, each with its time.
    pub fn stop_with_times(self) -> Vec<(Instant, String)> {
        self.ends.store(true, Ordering::SeqCst);
        self.thread.join().unwrap();
        Arc::into_inner(self.acknowledged).unwrap().into_inner().unwrap()
    }
}

/// What a group did with acknowledged writes and with the tokens of orders to promote.
#[derive(Debug, PartialEq, Eq)]
pub struct Outcome {
    pub acknowledged: usize,
    /// The acknowledged writes that the primary doesn't have.
    pub lost: Vec<String>,
    /// The acknowledged writes that the primary has more than once.
    pub doubled: Vec<String>,
    /// Number of orders whose token was lower than that of the order before.
    pub falls: usize,
}

impl Outcome {
    pub fn new(group: &Group, acknowledged: &[String]) -> Self {
        let values = group.values_of(ITEM);
        let count = |data: &&String| values.iter().filter(|value| value == data).count();
        let with = |wrong: fn(usize) -> bool| {
            acknowledged.iter().filter(|data| wrong(count(data))).cloned().collect()
        };
        let promotions = group.promotions.lock().unwrap();
        let tokens = promotions.windows(2).map(|pair| (pair[0].2, pair[1].2));
        Self {
            acknowledged: acknowledged.len(),
            lost: with(|count| count == 0),
            doubled: with(|count| count > 1),
            falls: tokens.filter(|(before, after)| before > after).count(),
        }
    }

    /// Returns, for each promotion that took effect, the instance and how many of the writes that were acknowledged
    /// before it did not hold.
    pub fn lost_at_promotions(
        group: &Group,
        acknowledged: &[(Instant, String)],
    ) -> Vec<(String, usize)> {
        let missing = |(at, instance, held): (Instant, String, Vec<String>)| {
            let held: BTreeSet<String> = held.into_iter().collect();
            let before = acknowledged.iter().filter(|(acknowledged_at, _)| *acknowledged_at < at);
            (instance, before.filter(|(_, data)| !held.contains(data)).count())
        };
        group.effects().into_iter().map(missing).collect()
    }

    pub fn is_right(&self) -> bool {
        self.lost.is_empty() && self.doubled.is_empty() && self.falls == 0
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (lost, doubled) = (self.lost.len(), self.doubled.len());
        write!(
            f,
            "{} falls of the token, {lost} of {} acknowledged writes lost, {doubled} doubled",
            self.falls, self.acknowledged
        )
    }
}
