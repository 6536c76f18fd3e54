//! Which announcements of instances count, and what the log makes of them.

mod machine;

use std::time::Duration;

use cactushatch::control::registry::{Registry, Verdict};
use cactushatch::control::state::{Action, Command, Declared, Outcome, State};
use cactushatch::id;
use cactushatch::upstream::announcement::TTL;
use cactushatch::wire::{Announcement, Phase, Standing};
use machine::{at, epoch, group, name, replica};

fn said(instance: &str, port: u16, born: u64, sequence: u64, standing: Standing) -> Announcement {
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

/// Takes an announcement as a leader does.
fn hear(registry: &mut Registry, state: &mut State, ms: u64, said: &Announcement) -> Verdict {
    let verdict = registry.hear(at(ms), said, state);
    if verdict == Verdict::New {
        apply(state, Action::Announce(said.clone()));
    }
    verdict
}

#[test]
fn only_what_is_new_goes_into_the_log() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    let ready = |sequence| said("i1", 1, 5, sequence, Standing::Ready);
    assert_eq!(hear(&mut registry, &mut state, 0, &ready(1)), Verdict::New);
    assert_eq!(hear(&mut registry, &mut state, 10, &ready(2)), Verdict::Known);
    let leaving = said("i1", 1, 5, 3, Standing::Leaving);
    assert_eq!(hear(&mut registry, &mut state, 20, &leaving), Verdict::New);
    assert!(state.draining.contains(&name("i1")));
}

/// A heartbeat that a partition held up says that the instance takes work, after it has said that it leaves.
#[test]
fn a_late_heartbeat_undoes_nothing() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    hear(&mut registry, &mut state, 0, &said("i1", 1, 5, 1, Standing::Ready));
    hear(&mut registry, &mut state, 10, &said("i1", 1, 5, 9, Standing::Leaving));
    let late = said("i1", 1, 5, 4, Standing::Ready);
    assert_eq!(hear(&mut registry, &mut state, 20, &late), Verdict::Late);
    assert!(state.draining.contains(&name("i1")));
}

/// The instance started again under its name; what its earlier life says arrives afterwards.
#[test]
fn an_earlier_life_undoes_nothing() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    hear(&mut registry, &mut state, 0, &said("i1", 1, 5, 90, Standing::Ready));
    assert_eq!(
        hear(&mut registry, &mut state, 1, &said("i1", 2, 6, 1, Standing::Ready)),
        Verdict::New
    );
    let late = said("i1", 1, 5, 99, Standing::Leaving);
    assert_eq!(hear(&mut registry, &mut state, 2, &late), Verdict::Late);
    // A new leader has heard nothing, but has the log.
    assert_eq!(hear(&mut Registry::default(), &mut state, 3, &late), Verdict::Late);
    assert_eq!(state.enlisted[&name::<id::Instance>("i1")].replica.address.port(), 2);
}

/// An address is used again by another instance, and the one that had it speaks up late.
#[test]
fn an_address_belongs_to_the_latest_life() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    hear(&mut registry, &mut state, 0, &said("i1", 1, 5, 1, Standing::Ready));
    assert_eq!(
        hear(&mut registry, &mut state, 1, &said("i2", 1, 8, 1, Standing::Ready)),
        Verdict::New
    );
    assert_eq!(state.enlisted.keys().collect::<Vec<_>>(), [&name::<id::Instance>("i2")]);
    assert_eq!(
        hear(&mut registry, &mut state, 2, &said("i1", 1, 5, 2, Standing::Ready)),
        Verdict::Late
    );
}

#[test]
fn who_leaves_is_forgotten_and_so_is_who_is_silent() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    hear(&mut registry, &mut state, 0, &said("i1", 1, 5, 1, Standing::Ready));
    hear(&mut registry, &mut state, 0, &said("i2", 2, 5, 1, Standing::Ready));
    hear(&mut registry, &mut state, 10, &said("i1", 1, 5, 1, Standing::Gone));
    assert!(!state.enlisted.contains_key(&name::<id::Instance>("i1")));
    assert!(registry.silent(at(100), &state).is_empty());
    let late = at(0) + TTL + Duration::from_millis(1);
    let silent = registry.silent(late, &state);
    assert_eq!(silent.len(), 1);
    assert!(registry.silent(late, &state).is_empty(), "it is ordered once");
}

/// Control may be cut off from a primary that proxies reach.
#[test]
fn a_primary_in_force_is_not_forgotten() {
    let (mut registry, mut state) = (Registry::default(), State::default());
    hear(&mut registry, &mut state, 0, &said("i1", 1, 5, 1, Standing::Ready));
    state.epochs.insert(group(), epoch(1, "i1", Phase::Active, &[(1, 0)]));
    assert!(registry.silent(at(0) + TTL * 2, &state).is_empty());
    state.epochs.insert(group(), epoch(1, "i1", Phase::Frozen, &[(1, 0)]));
    assert_eq!(registry.silent(at(0) + TTL * 2, &state).len(), 1);
}

fn declared(edition: u64, deadline: &str) -> Declared {
    let text = format!("[class.c]\npriority = 0\ndeadline = \"{deadline}\"\n");
    Declared { edition: id::Edition(edition), text, source: format!("source of {edition}") }
}

#[test]
fn the_highest_edition_counts_and_all_others_change_nothing() {
    let mut state = State::default();
    let done = |state: &mut State, declared| match apply(state, Action::Declare(declared)) {
        Outcome::Done { revision } => revision.0,
        outcome => panic!("{outcome:?}"),
    };
    assert_eq!(done(&mut state, declared(7, "1s")), 1);
    assert_eq!(done(&mut state, declared(7, "1s")), 1);
    assert_eq!(done(&mut state, declared(7, "9s")), 1, "other content under the same number");
    assert_eq!(done(&mut state, declared(3, "9s")), 1);
    assert_eq!(state.declared, Some(declared(7, "1s")));
    assert_eq!(done(&mut state, declared(12, "2s")), 2);
    assert_eq!(state.text, declared(12, "2s").text);
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
fn only_the_instance_with_the_claim_is_adopted_whichever_term_it_took() {
    let mut state = State::default();
    state.epochs.insert(group(), epoch(3, "i1", Phase::Frozen, &[(3, 0)]));
    claim(&mut state, "i2", 4);
    claim(&mut state, "i3", 5);
    assert!(!adopt(&mut state, "i2", 4));
    assert!(!adopt(&mut state, "i3", 3), "the term is not newer");
    assert!(adopt(&mut state, "i3", 4));
    let epoch = &state.epochs[&group()];
    assert_eq!((epoch.primary.as_str(), epoch.term), ("i3", id::Term(4)));
    assert!(!adopt(&mut state, "i3", 5), "the epoch is in force");
}

#[test]
fn a_frozen_epoch_goes_on_only_while_nobody_else_may_have_been_promoted() {
    let mut state = State::default();
    state.epochs.insert(group(), epoch(3, "i1", Phase::Frozen, &[(3, 0)]));
    assert!(!thaw(&mut state, 2));
    assert!(thaw(&mut state, 3));
    assert_eq!(state.epochs[&group()].phase, Phase::Active);
    state.epochs.insert(group(), epoch(3, "i1", Phase::Frozen, &[(3, 0)]));
    claim(&mut state, "i2", 4);
    assert!(!thaw(&mut state, 3));
}
