//! Tests that no number in a heartbeat makes control ignore the drain of an instance.

mod machine;

use cactushatch::control::registry::{Registry, Verdict};
use cactushatch::control::state::{Action, Command, State};
use cactushatch::id;
use cactushatch::wire::{Announcement, Availability};
use machine::{at, name, replica};

fn announce(
    registry: &mut Registry,
    state: &mut State,
    (born, sequence): (u64, u64),
    standing: Availability,
) -> Verdict {
    let announcement = Announcement {
        replica: replica("i1", 1),
        born: id::Incarnation(born),
        sequence: id::Sequence(sequence),
        standing,
    };
    let verdict = registry.handle_announcement(at(0), &announcement, state);
    if verdict == Verdict::New {
        let command = Command { origin: None, action: Action::Announce(announcement) };
        state.apply(&command);
    }
    verdict
}

/// Another writer has used the id of an instance with a far higher sequence number.
#[test]
fn a_drain_counts_after_a_heartbeat_with_a_higher_sequence_number() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    announce(&mut registry, &mut state, (5, 1), Availability::Ready);
    announce(&mut registry, &mut state, (5, u64::MAX), Availability::Ready);
    let drain = announce(&mut registry, &mut state, (5, 2), Availability::Leaving);
    assert_eq!(drain, Verdict::New);
    assert!(state.draining.contains(&name("i1")));
    // A heartbeat that was sent before the drain may still arrive, and so may the drain itself once more.
    assert_eq!(announce(&mut registry, &mut state, (5, 1), Availability::Ready), Verdict::Late);
    assert_eq!(announce(&mut registry, &mut state, (5, 2), Availability::Leaving), Verdict::Known);
    assert!(state.draining.contains(&name("i1")));
}

/// Without a start time an earlier incarnation can't be told from the present one, whose sequence began anew.
#[test]
fn a_late_drain_without_a_start_time_changes_nothing() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    announce(&mut registry, &mut state, (0, 9), Availability::Ready);
    let drain = announce(&mut registry, &mut state, (0, 4), Availability::Leaving);
    assert_eq!(drain, Verdict::Late);
    assert!(!state.draining.contains(&name("i1")));
}
