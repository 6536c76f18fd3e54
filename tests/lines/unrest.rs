//! Disturbs proxies and instances under sessions, from a seed, in ways that overlap.

use std::time::{Duration, Instant};

use super::{Extent, Fleet, SecondAnswers};

/// The share of statements with a fault of their own is one in a number from this range.
const ONE_IN: std::ops::Range<u64> = 20..120;

/// What is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An instance crashes, and returns with its log.
    Crash,
    /// A replica crashes, and returns under its name without its log.
    Rebirth,
    /// An instance doesn't read.
    Deaf,
    /// Statements take long, and instances run few at once.
    Slow,
    /// Answers of instances are lost.
    Lost,
    /// Instances refuse some statements because they are busy.
    Busy,
    /// Instances answer some statements, or also the proxies' own ones, twice.
    Second,
    /// A proxy is frozen.
    Freeze,
    /// A proxy is stopped, and started again.
    Stop,
    /// A proxy is killed, and started again.
    Kill,
}

impl Kind {
    pub const ALL: [Self; 10] = [
        Self::Crash,
        Self::Rebirth,
        Self::Deaf,
        Self::Slow,
        Self::Lost,
        Self::Busy,
        Self::Second,
        Self::Freeze,
        Self::Stop,
        Self::Kill,
    ];
}

/// The end of a disturbance.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Repair {
    Recover(String),
    /// Returns without its log, unless it has become the primary.
    Return(String),
    Hear(String),
    Speed,
    Answer,
    AnswerOnce,
    Wake(u8),
    Start(u8),
}

/// Disturbs a fleet. At most one instance is down or doesn't read at a time, since a commit has one replica.
pub struct Unrest<'a> {
    fleet: &'a mut Fleet,
    kinds: &'a [Kind],
    random: fastrand::Rng,
    start: Instant,
    repairs: Vec<(Instant, Repair)>,
    /// What was done, with the times in seconds.
    record: Vec<String>,
}

impl<'a> Unrest<'a> {
    pub fn new(fleet: &'a mut Fleet, kinds: &'a [Kind], seed: u64) -> Self {
        let (random, start) = (fastrand::Rng::with_seed(seed), Instant::now());
        Self { fleet, kinds, random, start, repairs: Vec::new(), record: Vec::new() }
    }

    /// Disturbs the fleet for this long, repairs everything, and returns what was done.
    pub fn run(mut self, duration: Duration) -> Vec<String> {
        while self.start.elapsed() < duration {
            if !self.kinds.is_empty() {
                let kind = self.kinds[self.random.usize(..self.kinds.len())];
                self.disturb(kind);
            }
            let pause = self.random.u64(50..800);
            self.wait(Duration::from_millis(pause));
        }
        for (_, repair) in std::mem::take(&mut self.repairs) {
            self.repair(repair);
        }
        self.record
    }

    fn note(&mut self, text: &str) {
        self.record.push(format!("{:6.2} {text}", self.start.elapsed().as_secs_f64()));
    }

    fn repair_within(&mut self, milliseconds: std::ops::Range<u64>, repair: Repair) {
        let delay = Duration::from_millis(self.random.u64(milliseconds));
        self.repairs.push((Instant::now() + delay, repair));
    }

    fn is_disturbed(&self, matches: impl Fn(&Repair) -> bool) -> bool {
        self.repairs.iter().any(|(_, repair)| matches(repair))
    }

    /// Waits, and makes the repairs that are due meanwhile.
    fn wait(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        loop {
            let now = Instant::now();
            while let Some(due) = self.repairs.iter().position(|(at, _)| *at <= now) {
                let (_, repair) = self.repairs.remove(due);
                self.repair(repair);
            }
            if now >= end {
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn repair(&mut self, repair: Repair) {
        self.note(&format!("{repair:?}"));
        let group = &self.fleet.group;
        match repair {
            Repair::Recover(id) => group.recover(&id),
            Repair::Return(id) => {
                group.forget(&id);
                group.recover(&id);
            }
            Repair::Hear(id) => group.change_conditions(|c| {
                c.deaf.remove(&id);
            }),
            Repair::Speed => group.change_conditions(|c| {
                (c.slots, c.duration) = (usize::MAX, Duration::ZERO);
            }),
            Repair::Answer => group.change_conditions(|c| c.lost_one_in = 0),
            Repair::AnswerOnce => group.answer_twice(None),
            Repair::Wake(vm) => self.fleet.signal(vm, "-CONT"),
            Repair::Start(vm) => self.fleet.start_process(vm, false),
        }
    }

    fn disturb(&mut self, kind: Kind) {
        match kind {
            Kind::Crash | Kind::Rebirth | Kind::Deaf => self.disturb_instance(kind),
            Kind::Slow => {
                if !self.is_disturbed(|repair| *repair == Repair::Speed) {
                    let slots = self.random.usize(1..4);
                    let duration = Duration::from_millis(self.random.u64(5..80));
                    self.note(&format!("{slots} slots, {duration:?}"));
                    self.fleet.group.change_conditions(|c| {
                        (c.slots, c.duration) = (slots, duration);
                    });
                    self.repair_within(300..2_500, Repair::Speed);
                }
            }
            Kind::Lost => {
                if !self.is_disturbed(|repair| *repair == Repair::Answer) {
                    let one_in = self.random.u64(ONE_IN);
                    self.note(&format!("loses one in {one_in} answers"));
                    self.fleet.group.change_conditions(|c| c.lost_one_in = one_in);
                    self.repair_within(300..2_500, Repair::Answer);
                }
            }
            Kind::Busy | Kind::Second => {
                if !self.is_disturbed(|repair| *repair == Repair::AnswerOnce) {
                    self.answer_twice(kind);
                }
            }
            Kind::Freeze | Kind::Stop | Kind::Kill => self.disturb_proxy(kind),
        }
    }

    fn answer_twice(&mut self, kind: Kind) {
        let one_in = match kind {
            Kind::Second => self.random.u64(ONE_IN),
            _ => u64::MAX,
        };
        let data = ["FETCH", "PUT", "EXEC", "COMMIT"].as_slice();
        let answers = SecondAnswers {
            commands: if self.random.bool() { data } else { &[] },
            one_in,
            delay: (Duration::ZERO, Duration::from_millis(500)),
            extent: if self.random.bool() { Extent::Whole } else { Extent::Any },
            busy_one_in: self.random.u64(ONE_IN),
            service: Duration::ZERO,
        };
        self.note(&format!("{answers:?}"));
        self.fleet.group.answer_twice(Some(answers));
        self.repair_within(300..2_500, Repair::AnswerOnce);
    }

    fn disturb_instance(&mut self, kind: Kind) {
        let is_failed = |repair: &Repair| {
            matches!(repair, Repair::Recover(_) | Repair::Return(_) | Repair::Hear(_))
        };
        if self.is_disturbed(is_failed) || !self.fleet.group.is_settled() {
            return;
        }
        let primary = self.fleet.group.primary();
        let ids = ["i-21", "i-22", "i-23"];
        let replicas: Vec<&str> = ids.into_iter().filter(|id| *id != primary).collect();
        let id = match kind != Kind::Rebirth && self.random.bool() {
            true => primary,
            false => replicas[self.random.usize(..replicas.len())].to_owned(),
        };
        self.note(&format!("{kind:?} {id}"));
        if kind == Kind::Deaf {
            self.fleet.group.change_conditions(|c| {
                c.deaf.insert(id.clone());
            });
            return self.repair_within(200..2_500, Repair::Hear(id));
        }
        self.fleet.group.crash(&id);
        match kind {
            Kind::Rebirth => self.repair_within(100..2_000, Repair::Return(id)),
            _ => self.repair_within(800..4_000, Repair::Recover(id)),
        }
    }

    /// Freezes, stops or kills a proxy. Half of them stay as they are.
    fn disturb_proxy(&mut self, kind: Kind) {
        let disturbed: Vec<u8> = self
            .repairs
            .iter()
            .filter_map(|(_, repair)| match repair {
                Repair::Wake(vm) | Repair::Start(vm) => Some(*vm),
                _ => None,
            })
            .collect();
        let vm = self.fleet.proxies[self.random.usize(..self.fleet.proxies.len())];
        if disturbed.contains(&vm) || disturbed.len() >= self.fleet.proxies.len().div_ceil(2) {
            return;
        }
        self.note(&format!("{kind:?} {vm}"));
        match kind {
            Kind::Freeze => {
                self.fleet.signal(vm, "-STOP");
                self.repair_within(200..2_500, Repair::Wake(vm));
                return;
            }
            Kind::Stop => self.fleet.signal(vm, "-TERM"),
            _ => self.fleet.signal(vm, "-KILL"),
        }
        self.fleet.wait_for_exit(vm);
        self.repair_within(100..1_500, Repair::Start(vm));
    }
}
