//! Kills, freezes and cuts control processes at random, partitions their paths, and lets primaries fail.

use std::time::{Duration, Instant};

use super::peers::Peers;
use super::{Fleet, VOTERS};

/// The end of a disturbance.
#[derive(Debug, Clone)]
enum Repair {
    Release(u8),
    Accept(u8),
    Heal(u8),
    Wake(u8),
    Start(u8),
    Attach(String),
    Recover(String),
}

/// Disturbs a fleet in ways that overlap, from a seed. At most one instance is disturbed at a time, since a commit has one
/// replica.
pub struct Disturber<'a> {
    fleet: &'a mut Fleet,
    random: fastrand::Rng,
    start: Instant,
    repairs: Vec<(Instant, Repair)>,
    /// What was done, with the times in seconds.
    record: Vec<String>,
}

impl<'a> Disturber<'a> {
    pub fn new(fleet: &'a mut Fleet, seed: u64) -> Self {
        let (random, start) = (fastrand::Rng::with_seed(seed), Instant::now());
        let (repairs, record) = (Vec::new(), Vec::new());
        Self { fleet, random, start, repairs, record }
    }

    /// Disturbs the fleet for this long, repairs everything, and returns what was done.
    pub fn run(mut self, duration: Duration) -> Vec<String> {
        while self.start.elapsed() < duration {
            self.step();
            let pause = self.random.u64(50..800);
            self.wait(Duration::from_millis(pause));
        }
        for (_, repair) in std::mem::take(&mut self.repairs) {
            self.repair(repair);
        }
        VOTERS.iter().for_each(|vm| self.fleet.paths[vm].release());
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
        match repair {
            Repair::Release(vm) => self.fleet.paths[&vm].release(),
            Repair::Accept(vm) => self.fleet.paths[&vm].accept_again(),
            Repair::Heal(vm) => self.peers().heal(&format!("control-{vm}")),
            Repair::Wake(vm) => self.fleet.signal(vm, "-CONT"),
            Repair::Start(vm) => self.fleet.start_process(vm, false),
            Repair::Attach(id) => self.fleet.group.attach(&id),
            Repair::Recover(id) => self.fleet.group.recover(&id),
        }
    }

    fn peers(&self) -> &Peers {
        self.fleet.peers.as_ref().expect("a relay")
    }

    fn step(&mut self) {
        let vm = match self.fleet.leader() {
            Some(leader) if self.random.u8(..4) > 0 => leader,
            _ => VOTERS[self.random.usize(..VOTERS.len())],
        };
        match self.random.u8(..8) {
            0..4 => self.cut_in_an_order(vm),
            4 => self.fail_primary(),
            5 => self.stop_accepting(vm),
            _ => self.disturb(vm),
        }
    }

    /// Partitions the path of a control process from its next order, lets the primary fail, and disturbs the process.
    fn cut_in_an_order(&mut self, vm: u8) {
        if self.is_disturbed(|repair| matches!(repair, Repair::Release(held) if *held == vm)) {
            return;
        }
        self.note(&format!("partitions the path of {vm} from its next order"));
        let begun = self.fleet.paths[&vm].orders().begun;
        self.fleet.paths[&vm].partition_next_order_and(|| {});
        self.repair_within(500..5_000, Repair::Release(vm));
        self.fail_primary();
        for _ in 0..100 {
            self.wait(Duration::from_millis(10));
            if self.fleet.paths[&vm].orders().begun > begun {
                self.note("an order is lost");
                break;
            }
        }
        self.disturb(vm);
    }

    fn fail_primary(&mut self) {
        let is_failed = |repair: &Repair| matches!(repair, Repair::Attach(_) | Repair::Recover(_));
        if self.is_disturbed(is_failed) || !self.fleet.group.is_settled() {
            return;
        }
        let primary = self.fleet.group.primary();
        self.note(&format!("the primary {primary} fails"));
        if self.random.bool() {
            self.fleet.group.detach(&primary);
            self.repair_within(800..4_000, Repair::Attach(primary));
        } else {
            self.fleet.group.crash(&primary);
            self.repair_within(800..4_000, Repair::Recover(primary));
        }
    }

    fn stop_accepting(&mut self, vm: u8) {
        if !self.is_disturbed(|repair| matches!(repair, Repair::Accept(full) if *full == vm)) {
            self.note(&format!("the path of {vm} accepts no connections"));
            self.fleet.paths[&vm].stop_accepting();
            self.repair_within(300..2_500, Repair::Accept(vm));
        }
    }

    /// Kills, freezes or cuts off a control process.
    fn disturb(&mut self, vm: u8) {
        let is_busy = |repair: &Repair| {
            let (Repair::Heal(busy) | Repair::Wake(busy) | Repair::Start(busy)) = repair else {
                return false;
            };
            *busy == vm
        };
        if self.is_disturbed(is_busy) {
            return;
        }
        match self.random.u8(..4) {
            0 => {
                self.note(&format!("kills {vm}"));
                self.fleet.signal(vm, "-KILL");
                self.fleet.wait_for_exit(vm);
                self.repair_within(200..1_500, Repair::Start(vm));
            }
            1 => {
                self.note(&format!("freezes {vm}"));
                self.fleet.signal(vm, "-STOP");
                self.repair_within(300..3_000, Repair::Wake(vm));
            }
            _ => {
                self.note(&format!("cuts {vm} off"));
                self.peers().isolate(&format!("control-{vm}"));
                self.repair_within(300..4_000, Repair::Heal(vm));
                let released =
                    |repair: &Repair| matches!(repair, Repair::Release(lost) if *lost == vm);
                if !self.is_disturbed(released) && self.random.bool() {
                    self.note(&format!("partitions the path of {vm}"));
                    self.fleet.paths[&vm].partition();
                    self.repair_within(300..4_000, Repair::Release(vm));
                }
            }
        }
    }
}
