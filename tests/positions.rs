//! Tests that a proxy learns positions of primaries from other proxies, and never takes one for newer than it is.

mod machine;

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::broker::position::Answers;
use cactushatch::clock::Instant;
use cactushatch::control::position::MAX_AGE;
use cactushatch::control::state::State;
use cactushatch::id;
use cactushatch::proxy::floor::Mark;
use cactushatch::wire::{Demand, Grant, Heartbeat, Stamp, position};
use machine::{Control, Proxy, at, group};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn mark(position: u64) -> Mark {
    Mark { term: id::Term(1), position: id::Position(position) }
}

fn demand() -> Vec<Demand> {
    vec![Demand { group: group(), wanted: 1, open: 0, share: 1 }]
}

/// A proxy that reports the positions that it reads.
struct Reader {
    proxy: Proxy,
    answers: Answers,
    sample: Option<(Instant, Mark)>,
}

impl Reader {
    fn new(node: &str) -> Self {
        let proxy = Proxy { demand: demand(), ..Proxy::new(node, 1) };
        Self { proxy, answers: Answers::default(), sample: None }
    }

    fn heartbeat(&mut self, now: Instant) -> Heartbeat {
        let heartbeat = self.proxy.send_heartbeat(now);
        let report = self.sample.and_then(|(at, mark)| {
            let after = self.answers.last_before(heartbeat.seen.term, at)?;
            Some(position::Report { group: group(), mark, after })
        });
        Heartbeat { positions: report.into_iter().collect(), ..heartbeat }
    }

    /// Applies a grant, and returns when the known positions in it were requested at the earliest.
    fn receive(&mut self, now: Instant, grant: Grant) -> Vec<(Instant, Mark)> {
        let (term, sequence) = (grant.stamp.term, grant.sequence.expect("an answer"));
        let positions = grant.positions.clone();
        self.proxy.fence.step(grant);
        self.answers.record(now, term, sequence);
        let sent_at = self.proxy.fence.sent_at(sequence).expect("a recent heartbeat");
        let known = |known: position::Known| {
            (sent_at - Duration::from_millis(known.age_ms.into()), known.mark)
        };
        positions.into_iter().map(known).collect()
    }
}

fn control(readers: &[&Reader]) -> Control {
    let mut control = Control::elected(at(0), State::default(), 1);
    readers.iter().for_each(|reader| control.register(at(0), &reader.proxy.holder));
    control
}

/// Guards against reads that are refused although replicas could serve them: a proxy that gets no connection to the
/// primary, as after a loss of power, could not prove how recent any replica is.
#[test]
fn a_proxy_without_a_connection_to_the_primary_learns_its_position_within_half_a_second() {
    let (mut connected, mut other) = (Reader::new("p1"), Reader::new("p2"));
    let mut control = control(&[&connected, &other]);
    let mut learned = Vec::new();
    for ms in (10..510).step_by(150) {
        for reader in [&mut connected, &mut other] {
            let heartbeat = reader.heartbeat(at(ms));
            let holder = reader.proxy.holder.clone();
            let grant = control.handle_heartbeat(at(ms + 2), &holder, &heartbeat).expect("a grant");
            learned.extend(reader.receive(at(ms + 4), grant));
        }
        connected.sample = Some((at(ms + 10), mark(ms)));
    }
    let (requested_at, _) = *learned.last().expect("a position");
    assert!(at(510).since(requested_at) < Duration::from_millis(500), "{learned:?}");
    assert!(learned.iter().all(|(at, mark)| *at <= self::at(mark.position.0 + 10)), "{learned:?}");
}

/// Guards against bytes for proxies that know the position themselves, and against positions that no read allows.
#[test]
fn positions_are_sent_to_those_that_lack_them_until_they_are_too_old() {
    let (mut connected, mut other) = (Reader::new("p1"), Reader::new("p2"));
    let mut control = control(&[&connected, &other]);
    let mut exchange = |ms: u64, reader: &mut Reader| {
        let heartbeat = reader.heartbeat(at(ms));
        let holder = reader.proxy.holder.clone();
        let grant = control.handle_heartbeat(at(ms), &holder, &heartbeat).expect("a grant");
        reader.receive(at(ms), grant)
    };
    exchange(0, &mut connected);
    connected.sample = Some((at(5), mark(1)));
    assert!(exchange(10, &mut connected).is_empty());
    assert_eq!(exchange(20, &mut other).len(), 1);
    let old = 20 + MAX_AGE.as_millis() as u64;
    assert!(exchange(old, &mut other).is_empty());
}

/// A position from before a change of leader can't be dated, so the proxy still needs those of others.
#[test]
fn an_undated_position_is_not_passed_on_and_hides_none() {
    let (mut connected, mut other) = (Reader::new("p1"), Reader::new("p2"));
    let mut control = control(&[&connected, &other]);
    let mut exchange = |ms: u64, reader: &mut Reader, undated: bool| {
        let mut heartbeat = reader.heartbeat(at(ms));
        if undated {
            let (mark, after) = (mark(9), position::UNDATED);
            heartbeat.positions = vec![position::Report { group: group(), mark, after }];
        }
        let holder = reader.proxy.holder.clone();
        let grant = control.handle_heartbeat(at(ms), &holder, &heartbeat).expect("a grant");
        reader.receive(at(ms), grant)
    };
    exchange(0, &mut connected, true);
    assert!(exchange(5, &mut other, false).is_empty(), "it may be old");
    connected.sample = Some((at(6), mark(1)));
    exchange(10, &mut connected, false);
    assert_eq!(exchange(20, &mut other, true).len(), 1);
}

/// Returns a grant that answers no heartbeat.
fn pushed(proxy: &Proxy) -> Grant {
    Grant {
        stamp: Stamp::default(),
        incarnation: proxy.holder.1,
        sequence: None,
        lease_ms: 0,
        version: 1,
        delta: None,
        revision: id::Revision(0),
        quota: Vec::new(),
        positions: Vec::new(),
    }
}

/// A datagram on its way.
#[derive(Debug)]
enum Datagram {
    Heartbeat(usize, Box<Heartbeat>),
    Grant(usize, Box<Grant>),
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a read of data that is older than it allows: heartbeats and grants are delayed, lost, repeated and
    /// overtaken, leaders change, and a position must never count as requested later than it was.
    #[test]
    fn a_position_never_counts_as_newer_than_it_is(
        steps in prop::collection::vec((0_u64..40, 0_usize..2, 0_u8..16, 1_u64..900, 1_u64..900), 20..250),
    ) {
        let mut readers = [Reader::new("p1"), Reader::new("p2")];
        let mut control = control(&[&readers[0], &readers[1]]);
        let mut term = 1;
        let mut ms = 0;
        let mut on_the_way: BTreeMap<(u64, usize), Datagram> = BTreeMap::new();
        for (number, (pause, index, event, delay, other_delay)) in steps.into_iter().enumerate() {
            let until = ms + pause;
            while let Some(entry) = on_the_way.first_entry().filter(|entry| entry.key().0 <= until) {
                let ((arrival, _), datagram) = entry.remove_entry();
                match datagram {
                    Datagram::Heartbeat(index, heartbeat) => {
                        let holder = readers[index].proxy.holder.clone();
                        let grant = control.handle_heartbeat(at(arrival), &holder, &heartbeat);
                        if let Some(grant) = grant {
                            let grant = Datagram::Grant(index, Box::new(grant));
                            on_the_way.insert((arrival + other_delay, 2 * number), grant);
                        }
                    }
                    Datagram::Grant(index, grant) => {
                        for (requested_at, mark) in readers[index].receive(at(arrival), *grant) {
                            // The number of a position is the time at which it was requested.
                            prop_assert!(requested_at <= at(mark.position.0), "{requested_at:?} {mark:?}");
                        }
                    }
                }
            }
            ms = until;
            match event {
                0 => {
                    term += 1;
                    control = Control::elected(at(ms), control.state.clone(), term);
                    // The new leader's table arrives before its first answer.
                    for reader in &mut readers {
                        let stamp = Stamp { term: id::Term(term), index: id::Index(1) };
                        reader.proxy.fence.step(Grant { stamp, sequence: None, ..pushed(&reader.proxy) });
                    }
                }
                1..6 => readers[0].sample = Some((at(ms), mark(ms))),
                _ => {
                    let heartbeat = readers[index].heartbeat(at(ms));
                    let copy = Datagram::Heartbeat(index, Box::new(heartbeat.clone()));
                    on_the_way.insert((ms + delay, 2 * number), copy);
                    if event > 12 {
                        let heartbeat = Datagram::Heartbeat(index, Box::new(heartbeat));
                        on_the_way.insert((ms + delay + other_delay, 2 * number + 1), heartbeat);
                    }
                }
            }
        }
    }
}
