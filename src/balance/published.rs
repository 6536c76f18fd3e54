//! How long statements wait at a server, as it said in its newest answer, and how that news is used while it ages.
//!
//! The load pattern: 77 to 118 proxies send the statements of a group to about twelve serving proxies, each with news of
//! another age. The weight of news falls with its age (Mitzenmacher, "How useful is old information?", 2000): old news
//! says no more about a server than the mean of all servers does. Own statements that were sent after the news are
//! counted exactly. Memory: one entry for each priority, server and group.

use std::time::Duration;

use smallvec::SmallVec;

use crate::clock::Instant;
use crate::id;
use crate::wire::Load;

/// The age at which news counts nothing any more: the loads of the known deployments change within seconds.
pub const MAX_AGE: Duration = Duration::from_millis(1_000);

/// The age up to which news may be the reason of a refusal. Within it a queue hardly drains unnoticed, since its waits are
/// of this order.
pub const REFUSAL_AGE: Duration = Duration::from_millis(200);

/// The number of statements that a serving proxy runs at once at the least: one on each of three instances.
const PARALLEL: u32 = 3;

/// The duration assumed for a statement before the first answer.
const INITIAL_MEAN: Duration = Duration::from_millis(15);

/// The weight of a new sample in the mean duration is one part in this many.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

/// The newest news of one server about one group.
#[derive(Debug, Clone)]
pub struct Published {
    newest: Option<(id::Incarnation, id::Sequence)>,
    at: Instant,
    waits: SmallVec<[(u8, Duration); 4]>,
    /// The number of own statements that were sent after the news and have no answer yet.
    sent: u32,
    mean_duration: Duration,
}

impl Default for Published {
    fn default() -> Self {
        Self {
            newest: None,
            at: Instant::default(),
            waits: SmallVec::new(),
            sent: 0,
            mean_duration: INITIAL_MEAN,
        }
    }
}

impl Published {
    /// Records that a statement is sent.
    pub fn begin(&mut self) {
        self.sent += 1;
    }

    /// Records that a statement ended without news.
    pub fn end(&mut self) {
        self.sent = self.sent.saturating_sub(1);
    }

    /// Records the news that came with the answer to a statement that took `duration`. Returns whether it was newer than
    /// what was known: news can arrive twice, in another order, or from before a restart of the server.
    pub fn record(
        &mut self,
        now: Instant,
        incarnation: id::Incarnation,
        load: &Load,
        duration: Duration,
    ) -> bool {
        let version = Some((incarnation, load.sequence));
        if load.waits_ms.is_empty() || version <= self.newest {
            self.end();
            return false;
        }
        let waits = load.waits_ms.iter();
        self.waits =
            waits.map(|(priority, ms)| (*priority, Duration::from_millis((*ms).into()))).collect();
        self.mean_duration =
            (self.mean_duration * (MEAN_WEIGHT_DIVISOR - 1) + duration) / MEAN_WEIGHT_DIVISOR;
        (self.newest, self.at, self.sent) = (version, now, 0);
        true
    }

    /// Returns the published wait of a priority if the news is at most `max_age` old. An unlisted priority waits as long
    /// as the next higher one.
    pub fn wait(&self, now: Instant, priority: u8, max_age: Duration) -> Option<Duration> {
        self.newest.filter(|_| now.since(self.at) <= max_age)?;
        let higher = self.waits.iter().filter(|(listed, _)| *listed <= priority);
        higher.max_by_key(|(listed, _)| *listed).map(|(_, wait)| *wait)
    }

    /// Returns the age of the news.
    pub fn age(&self, now: Instant) -> Duration {
        now.since(self.at)
    }

    /// Estimates the wait of a new statement. `mean` is the mean of what the servers of the group publish.
    pub fn estimate(&self, now: Instant, priority: u8, mean: Duration) -> Duration {
        let own = self.mean_duration * self.sent / PARALLEL;
        let Some(published) = self.wait(now, priority, MAX_AGE) else {
            return mean + own;
        };
        let weight = 1.0 - self.age(now).as_secs_f64() / MAX_AGE.as_secs_f64();
        published.mul_f64(weight) + mean.mul_f64(1.0 - weight) + own
    }
}
