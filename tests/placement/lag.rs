//! Tests of the learned lag of replicas: reads neither reach replicas that lack their marks, nor crowd the primary.

use std::time::Duration;

use cactushatch::balance::lag::{Advice, Lag, Observed};
use cactushatch::broker::dispatch::{Decision, Dispatcher, TRIAL_INTERVAL};
use cactushatch::broker::need::Need;
use cactushatch::config::Placement;
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::proxy::position_history::PositionHistory;

use super::{LONG, MS, at, dispatcher, index, instance, request};

fn mark(position: u64) -> Mark {
    Mark { term: id::Term(1), position: id::Position(position) }
}

/// A group of three whose primary writes once per millisecond: at `at(n)` it is at position `1_000_000 + n`.
struct Group {
    dispatcher: Dispatcher,
    history: PositionHistory,
    random: fastrand::Rng,
    /// Up to when each replica has the primary's writes.
    reached: [u64; 2],
    /// The usual lag that each replica has until its next change.
    lags: [u64; 2],
    on_primary: u32,
    /// When reads were refused as lagging, in milliseconds, and their priorities.
    in_vain: Vec<(u64, u8)>,
}

const START: u64 = 1_000_000;

impl Group {
    fn new(placement: Placement) -> Self {
        Self {
            dispatcher: dispatcher(placement),
            history: PositionHistory::default(),
            random: fastrand::Rng::with_seed(7),
            reached: [0; 2],
            lags: [150; 2],
            on_primary: 0,
            in_vain: Vec::new(),
        }
    }

    /// Moves the replicas on. One that stands still afterwards catches up at twice the primary's speed.
    fn tick(&mut self, now: u64, stalled: bool) {
        for (reached, lag) in self.reached.iter_mut().zip(&mut self.lags) {
            if now.is_multiple_of(200) {
                let normal: f64 = (0..12).map(|_| self.random.f64()).sum::<f64>() - 6.0;
                *lag = ((150.0 * (0.6 * normal).exp()) as u64).min(1_000);
            }
            if !stalled {
                *reached = (*reached).max((*reached + 2).min(now.saturating_sub(*lag)));
            }
        }
    }

    fn answer(&mut self, now: u64, on: usize, position: u64) {
        self.dispatcher.set_position(&instance(on), mark(START + position));
        if on == 0 {
            self.history.record(at(now), mark(START + position));
        } else if let Some(lag) = self.history.observe_lag(at(now), mark(START + position)) {
            self.dispatcher.record_lag(at(now), &instance(on), lag);
        }
    }

    /// Runs a read whose mark is `age` old.
    fn read(&mut self, now: u64, age: u64, priority: u8) {
        let since = now.saturating_sub(age);
        let need = Need::AtLeast { mark: mark(START + since), since: at(since) };
        loop {
            let decision = self.dispatcher.submit(at(now), request(now, need, priority));
            let Decision::Start(chosen) = decision else { panic!("{decision:?}") };
            let on = index(&chosen);
            let position = if on == 0 { now } else { self.reached[on - 1] };
            self.answer(now, on, position);
            let served = position >= since;
            if !served {
                self.dispatcher.record_lacking(at(now), &chosen, need);
                self.in_vain.push((now, priority));
            }
            self.dispatcher.release(&chosen, served.then_some(15 * MS));
            if served {
                self.on_primary += u32::from(on == 0);
                return;
            }
        }
    }

    /// Runs what one of twelve serving proxies of user B sees for some time: a write each 100 ms, a read each 20 ms, one
    /// in eight of them after an own write, and a ping of each replica after 300 ms.
    fn run(&mut self, times: std::ops::Range<u64>, stalled: bool) -> u32 {
        let mut reads = 0;
        for now in times {
            self.tick(now, stalled);
            if now.is_multiple_of(100) {
                self.answer(now, 0, now);
            }
            if now.is_multiple_of(300) {
                self.answer(now, 1, self.reached[0]);
                self.answer(now, 2, self.reached[1]);
            }
            if now.is_multiple_of(20) {
                let own = self.random.u8(..8) == 0;
                let age = if own { self.random.u64(10..600) } else { 1_400 };
                let priority = if self.random.u8(..6) == 0 { 1 } else { 2 };
                self.read(now, age, priority);
                reads += 1;
            }
        }
        reads
    }
}

/// The failure: with a fixed assumption of 50 ms, reads after an own write reach replicas that are 150 ms behind.
#[test]
fn reads_rarely_reach_a_replica_that_lacks_their_mark() {
    let mut figures = Vec::new();
    for placement in [Placement::Local, Placement::Estimated] {
        let mut group = Group::new(placement);
        group.run(0..5_000, false);
        (group.on_primary, group.in_vain) = (0, Vec::new());
        let reads = group.run(5_000..65_000, false);
        println!(
            "{placement:?}: {reads} reads, {} in vain, {} on the primary",
            group.in_vain.len(),
            group.on_primary
        );
        figures.push((group.in_vain.len(), group.on_primary));
    }
    assert!(figures[1].0 * 4 < figures[0].0, "{figures:?}");
    assert!(figures[1].1 < 400, "most reads must stay on replicas: {figures:?}");
}

/// The failure: replicas that stand still and then catch up for seconds are asked again and again, by urgent reads too,
/// or get no reads for seconds after they have caught up.
#[test]
fn a_replica_that_fell_behind_is_asked_rarely_and_returns_at_once() {
    for placement in [Placement::Local, Placement::Estimated] {
        let mut group = Group::new(placement);
        group.run(0..10_000, false);
        group.in_vain.clear();
        group.run(10_000..16_000, true);
        // Twice the primary's speed: the lag of 6 s is gone after 6 s.
        group.run(16_000..22_500, false);
        let in_vain = std::mem::take(&mut group.in_vain);
        let urgent = in_vain.iter().filter(|(_, priority)| *priority == 1).count();
        group.on_primary = 0;
        let reads = group.run(22_500..24_500, false);
        println!(
            "{placement:?}: {} in vain, {urgent} urgent; then {} of {reads} on the primary",
            in_vain.len(),
            group.on_primary
        );
        if placement == Placement::Estimated {
            let close = in_vain
                .windows(2)
                .filter(|pair| pair[1].0 - pair[0].0 < TRIAL_INTERVAL.as_millis() as u64);
            assert!(close.count() <= 2, "only when the lag begins: {in_vain:?}");
            assert!(urgent <= 2 && in_vain.len() <= 20, "{in_vain:?}");
            assert!(group.on_primary * 4 < reads, "{} of {reads}", group.on_primary);
        }
    }
}

/// The failure: one unusual answer, or one that proves nothing, makes a replica ready or keeps it away.
#[test]
fn only_an_answer_with_the_usual_lag_ends_a_lag() {
    let mut lag = Lag::default();
    for ms in 0..50 {
        lag.record(at(ms * 20), Observed::Exact(Duration::from_millis(100 + ms % 5 * 20)));
    }
    assert_eq!(lag.judge(at(1_000), at(0)), Advice::Ready);
    assert_eq!(lag.judge(at(1_000), at(900)), Advice::Behind, "a mark as old as the mean lag");
    lag.record(at(1_000), Observed::Exact(Duration::from_secs(5)));
    assert_eq!(lag.judge(at(1_000), at(0)), Advice::Behind);
    lag.record(at(1_020), Observed::AtLeast(50 * MS));
    assert!(lag.is_behind(), "a lower bound proves nothing");
    assert_eq!(lag.judge(at(1_700), at(300)), Advice::Trial, "it said nothing for half a second");
    lag.record(at(1_700), Observed::AtMost(20 * MS));
    assert_eq!(lag.judge(at(1_700), at(300)), Advice::Ready);
}

/// The failure: a replica whose answers bring no usable position, as after a promotion, is never asked again after a
/// refusal, or is asked all the time, or by urgent reads.
#[test]
fn a_replica_of_unknown_position_gets_trials() {
    let mut group = Group::new(Placement::Estimated);
    group.dispatcher.set_instance(&instance(2), 5, false, false);
    let place = |group: &mut Group, now: u64, priority: u8| {
        let need = Need::AtLeast { mark: mark(u64::MAX), since: at(now - 1_000) };
        let decision = group.dispatcher.submit(at(now), request(now, need, priority));
        let Decision::Start(chosen) = decision else { panic!("{decision:?}") };
        let is_trial = chosen == instance(1);
        if is_trial {
            group.dispatcher.record_lacking(at(now), &chosen, need);
        }
        group.dispatcher.release(&chosen, None);
        is_trial
    };
    // The primary queues, so that a replica is preferred if it may be used.
    group.dispatcher.record_duration(at(0), &instance(0), LONG);
    assert!(place(&mut group, 2_000, 2));
    let urgent = (2_001..8_000).filter(|now| place(&mut group, *now, 1)).count();
    assert_eq!(urgent, 0);
    let trials = (8_000..10_000).filter(|now| place(&mut group, *now, 2)).count();
    assert!((1..=20).contains(&trials), "{trials}");
}
