//! Tests which announcements of instances are accepted, and how the state machine of control applies them.

mod machine;

use std::time::Duration;

use cactushatch::control::registry::{Registry, Verdict};
use cactushatch::control::state::{Action, Command, Declaration, Outcome, State};
use cactushatch::id;
use cactushatch::upstream::announcement::TTL;
use cactushatch::wire::{Announcement, Availability, Phase};
use machine::{at, epoch, group, name, replica};

fn announcement(
    instance: &str,
    port: u16,
    born: u64,
    sequence: u64,
    standing: Availability,
) -> Announcement {
    Announcement {
        replica: replica(instance, port),
        born: id::Incarnation(born),
        sequence: id::Sequence(sequence),
        standing,
    }
}

fn apply(state: &mut State, action: Action) -> Outcome {
    state.apply(&Command { origin: None, action })
}

/// Handles an announcement like a leader, which appends new ones to the log.
fn announce(
    registry: &mut Registry,
    state: &mut State,
    ms: u64,
    announcement: &Announcement,
) -> Verdict {
    let verdict = registry.handle_announcement(at(ms), announcement, state);
    if verdict == Verdict::New {
        apply(state, Action::Announce(announcement.clone()));
    }
    verdict
}

#[test]
fn only_new_announcements_are_appended_to_the_log() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    let ready = |sequence| announcement("i1", 1, 5, sequence, Availability::Ready);
    assert_eq!(announce(&mut registry, &mut state, 0, &ready(1)), Verdict::New);
    assert_eq!(announce(&mut registry, &mut state, 10, &ready(2)), Verdict::Known);
    let leaving = announcement("i1", 1, 5, 3, Availability::Leaving);
    assert_eq!(announce(&mut registry, &mut state, 20, &leaving), Verdict::New);
    assert!(state.draining.contains(&name("i1")));
}

/// An announcement delayed by a partition must not make an instance ready again that has announced that it leaves.
#[test]
fn a_delayed_announcement_changes_nothing() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    announce(&mut registry, &mut state, 0, &announcement("i1", 1, 5, 1, Availability::Ready));
    announce(&mut registry, &mut state, 10, &announcement("i1", 1, 5, 9, Availability::Leaving));
    let late = announcement("i1", 1, 5, 4, Availability::Ready);
    assert_eq!(announce(&mut registry, &mut state, 20, &late), Verdict::Late);
    assert!(state.draining.contains(&name("i1")));
}

/// An instance has restarted under the same name, and an announcement of its previous incarnation arrives late.
#[test]
fn an_announcement_of_an_earlier_incarnation_changes_nothing() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    announce(&mut registry, &mut state, 0, &announcement("i1", 1, 5, 90, Availability::Ready));
    assert_eq!(
        announce(&mut registry, &mut state, 1, &announcement("i1", 2, 6, 1, Availability::Ready)),
        Verdict::New
    );
    let late = announcement("i1", 1, 5, 99, Availability::Leaving);
    assert_eq!(announce(&mut registry, &mut state, 2, &late), Verdict::Late);
    // A new leader has received no announcement, but knows the incarnation from the log.
    assert_eq!(announce(&mut Registry::default(), &mut state, 3, &late), Verdict::Late);
    assert_eq!(state.enlisted[&name::<id::Instance>("i1")].replica.address.port(), 2);
}

/// An address has been reused by another instance, and an announcement of its previous user arrives late.
#[test]
fn an_address_belongs_to_the_latest_incarnation() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    announce(&mut registry, &mut state, 0, &announcement("i1", 1, 5, 1, Availability::Ready));
    assert_eq!(
        announce(&mut registry, &mut state, 1, &announcement("i2", 1, 8, 1, Availability::Ready)),
        Verdict::New
    );
    assert_eq!(state.enlisted.keys().collect::<Vec<_>>(), [&name::<id::Instance>("i2")]);
    assert_eq!(
        announce(&mut registry, &mut state, 2, &announcement("i1", 1, 5, 2, Availability::Ready)),
        Verdict::Late
    );
}

#[test]
fn gone_and_silent_instances_are_removed() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    announce(&mut registry, &mut state, 0, &announcement("i1", 1, 5, 1, Availability::Ready));
    announce(&mut registry, &mut state, 0, &announcement("i2", 2, 5, 1, Availability::Ready));
    announce(&mut registry, &mut state, 10, &announcement("i1", 1, 5, 1, Availability::Gone));
    assert!(!state.enlisted.contains_key(&name::<id::Instance>("i1")));
    assert!(registry.expire(at(100), &state).is_empty());
    let late = at(0) + TTL + Duration::from_millis(1);
    let silent = registry.expire(late, &state);
    assert_eq!(silent.len(), 1);
    assert!(
        registry.expire(late, &state).is_empty(),
        "the removal of a silent instance is proposed only once"
    );
}

/// Control may be partitioned from a primary that proxies can reach.
#[test]
fn a_silent_primary_of_an_active_epoch_is_not_removed() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    announce(&mut registry, &mut state, 0, &announcement("i1", 1, 5, 1, Availability::Ready));
    state.epochs.insert(group(), epoch(1, "i1", Phase::Active, &[(1, 0)]));
    assert!(registry.expire(at(0) + TTL * 2, &state).is_empty());
    state.epochs.insert(group(), epoch(1, "i1", Phase::Frozen, &[(1, 0)]));
    assert_eq!(registry.expire(at(0) + TTL * 2, &state).len(), 1);
}

fn declaration(edition: u64, deadline: &str) -> Declaration {
    let text = format!("[class.c]\npriority = 0\ndeadline = \"{deadline}\"\n");
    Declaration { edition: id::Edition(edition), text, source: format!("source of {edition}") }
}

#[test]
fn only_a_higher_edition_of_the_declarations_is_applied() {
    let mut state = State::default();
    let declare = |state: &mut State, declaration| match apply(state, Action::Declare(declaration))
    {
        Outcome::Done { revision } => revision.0,
        outcome => panic!("{outcome:?}"),
    };
    assert_eq!(declare(&mut state, declaration(7, "1s")), 1);
    assert_eq!(declare(&mut state, declaration(7, "1s")), 1);
    assert_eq!(
        declare(&mut state, declaration(7, "9s")),
        1,
        "other content under the same edition is ignored"
    );
    assert_eq!(declare(&mut state, declaration(3, "9s")), 1);
    assert_eq!(state.declared, Some(declaration(7, "1s")));
    assert_eq!(declare(&mut state, declaration(12, "2s")), 2);
    assert_eq!(state.text, declaration(12, "2s").text);
}

fn claim(state: &mut State, instance: &str, term: u64) -> Outcome {
    let primary = name(instance);
    apply(state, Action::Claim { group: group(), term: id::Term(term), primary })
}

fn adopt(state: &mut State, instance: &str, term: u64) -> bool {
    let (primary, start) = (name(instance), id::Position(0));
    let action = Action::Adopt { group: group(), term: id::Term(term), primary, start };
    matches!(apply(state, action), Outcome::Done { .. })
}

fn thaw(state: &mut State, term: u64) -> bool {
    let action = Action::Thaw { group: group(), term: id::Term(term) };
    matches!(apply(state, action), Outcome::Done { .. })
}

#[test]
fn only_the_instance_with_the_latest_claim_is_adopted_with_any_newer_term() {
    let mut state = State::default();
    state.epochs.insert(group(), epoch(3, "i1", Phase::Frozen, &[(3, 0)]));
    claim(&mut state, "i2", 4);
    claim(&mut state, "i3", 5);
    assert!(!adopt(&mut state, "i2", 4));
    assert!(!adopt(&mut state, "i3", 3), "the term is not newer");
    assert!(adopt(&mut state, "i3", 4));
    let epoch = &state.epochs[&group()];
    assert_eq!((epoch.primary.as_str(), epoch.term), ("i3", id::Term(4)));
    assert!(!adopt(&mut state, "i3", 5), "an active epoch adopts no other primary");
}

#[test]
fn a_frozen_epoch_thaws_only_while_no_other_instance_may_have_been_promoted() {
    let mut state = State::default();
    state.epochs.insert(group(), epoch(3, "i1", Phase::Frozen, &[(3, 0)]));
    assert!(!thaw(&mut state, 2));
    assert!(thaw(&mut state, 3));
    assert_eq!(state.epochs[&group()].phase, Phase::Active);
    state.epochs.insert(group(), epoch(3, "i1", Phase::Frozen, &[(3, 0)]));
    claim(&mut state, "i2", 4);
    assert!(!thaw(&mut state, 3));
}

/// Guards against a group that can't go on with its own primary, the only instance left, once a term was reserved.
#[test]
fn a_frozen_epoch_thaws_if_the_later_term_is_reserved_for_its_own_primary() {
    let mut state = State::default();
    state.epochs.insert(group(), epoch(3, "i1", Phase::Frozen, &[(3, 0)]));
    claim(&mut state, "i2", 4);
    claim(&mut state, "i1", 5);
    assert!(thaw(&mut state, 3));
    let epoch = &state.epochs[&group()];
    assert_eq!((epoch.primary.as_str(), epoch.term), ("i1", id::Term(3)));
}
