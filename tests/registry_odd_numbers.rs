//! Tests that no number in a heartbeat makes control ignore the drain of an instance.

mod machine;

use cactushatch::control::registry::{Registry, Verdict};
use cactushatch::control::state::{Action, Command, State};
use cactushatch::id;
use cactushatch::upstream::announcement::TTL;
use cactushatch::wire::{Announcement, Availability, Replica};
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

/// An earlier release may have written an entry to the log that is refused now. It must not stop a start or a leader, and
/// must expire.
#[test]
fn an_odd_entry_in_the_log_is_read_and_expires() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    let odd = |instance: &str, address: &str| Announcement {
        replica: Replica { address: address.parse().unwrap(), ..replica(instance, 1) },
        born: id::Incarnation(u64::MAX),
        sequence: id::Sequence(u64::MAX),
        standing: Availability::Ready,
    };
    let entries =
        [odd("i7", "10.0.0.1:0"), odd("i8", "255.255.255.255:1"), odd("i9", "[ff02::1]:0")];
    for announcement in entries {
        let command = Command { origin: None, action: Action::Announce(announcement) };
        let written = postcard::to_allocvec(&command).unwrap();
        state.apply(&postcard::from_bytes(&written).unwrap());
    }
    let snapshot = postcard::to_allocvec(&state).unwrap();
    let mut state: State = postcard::from_bytes(&snapshot).unwrap();
    assert_eq!(state.enlisted.len(), 3);
    registry.refresh(at(0), &state);
    let expired = registry.expire(at(0) + TTL, &state);
    assert_eq!(expired.len(), 3);
    for announcement in expired {
        state.apply(&Command { origin: None, action: Action::Announce(announcement) });
    }
    assert!(state.enlisted.is_empty());
}
