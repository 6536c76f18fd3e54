//! A single voter, driven step by step: which votes and acknowledgements count.

use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::control::raft::{
    Bootstrap, Entry, Input, MAX_ELECTION_TIMEOUT, Members, Message, Output, Peer, PersistentState,
    Raft, Snapshot, Start,
};
use cactushatch::control::state::{Membership, Voter};
use cactushatch::id::{Incarnation, Index, Term};

use crate::cluster::{command, name, voter};

const NOW: Instant = Instant(1_000_000_000);

fn peer(number: usize, incarnation: u64) -> Peer {
    let start = Start { count: 1, token: 1 };
    Peer { node: name(number), incarnation: Incarnation(incarnation), start }
}

/// Returns three voters, each with its first disk.
fn members() -> Members {
    let mut members = Members::default();
    for number in 0..3 {
        let voter = Voter { incarnation: Incarnation(1), ..voter(number) };
        members.voters.insert(name(number), voter);
    }
    members
}

/// Returns the persistent state of a voter whose log has one entry, of term 1.
fn saved() -> PersistentState {
    let last = (Term(0), Index(0));
    let snapshot = Snapshot { last, members: members(), state: Vec::new() };
    let entry = Entry { term: Term(1), index: Index(1), command: command(1) };
    PersistentState { term: Term(1), vote: None, snapshot: Some(snapshot), entries: vec![entry] }
}

fn message(from: Peer, message: Message) -> Input {
    Input::Message { from, message }
}

/// Processes an input and reports each change as synced immediately; returns all outputs.
fn step(raft: &mut Raft, now: Instant, input: Input) -> Vec<Output> {
    let mut outputs = raft.step(now, input);
    let mut at = 0;
    while at < outputs.len() {
        if let Output::Persist { ticket, .. } = outputs[at] {
            outputs.extend(raft.step(now, Input::Synced { ticket }));
        }
        at += 1;
    }
    outputs
}

fn granted(pre_vote: bool) -> Message {
    Message::Vote { term: Term(2), pre_vote, granted: true }
}

/// Returns a candidate of term 2.
fn candidate() -> (Instant, Raft) {
    let mut raft = Raft::new(NOW, peer(0, 1), &saved(), 1);
    let now = NOW + MAX_ELECTION_TIMEOUT;
    step(&mut raft, now, Input::Tick);
    step(&mut raft, now, message(peer(1, 1), granted(true)));
    assert_eq!(raft.term(), Term(2));
    (now, raft)
}

fn committed_count(outputs: &[Output]) -> usize {
    let entries = |output: &Output| match output {
        Output::Apply(entries) => entries.len(),
        _ => 0,
    };
    outputs.iter().map(entries).sum()
}

#[test]
fn a_vote_from_a_disk_that_was_not_admitted_is_not_counted() {
    let (now, mut raft) = candidate();
    step(&mut raft, now, message(peer(1, 2), granted(false)));
    assert!(!raft.is_leader(), "the vote of a disk that was not admitted was counted");
    step(&mut raft, now, message(peer(1, 1), granted(false)));
    assert!(raft.is_leader());
}

#[test]
fn a_blank_disk_grants_no_vote() {
    let mut raft = Raft::new(NOW, peer(1, 2), &PersistentState::default(), 1);
    let last = (Term(1), Index(1));
    let request = Message::RequestVote { term: Term(2), pre_vote: false, last };
    let outputs = step(&mut raft, NOW + MAX_ELECTION_TIMEOUT, message(peer(0, 1), request));
    assert_eq!(outputs, []);
}

#[test]
fn a_restarted_voter_grants_no_second_vote_in_a_term() {
    let vote = Some(name(2));
    let saved = PersistentState { term: Term(2), vote, ..saved() };
    let mut raft = Raft::new(NOW, peer(1, 1), &saved, 1);
    let request =
        Message::RequestVote { term: Term(2), pre_vote: false, last: (Term(1), Index(1)) };
    let outputs = step(&mut raft, NOW + MAX_ELECTION_TIMEOUT, message(peer(0, 1), request));
    let is_granted = |output: &Output| {
        matches!(output, Output::Send { message: Message::Vote { granted: true, .. }, .. })
    };
    assert!(!outputs.iter().any(is_granted), "{outputs:?}");
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_current_term() {
    let (now, mut raft) = candidate();
    step(&mut raft, now, message(peer(1, 1), granted(false)));
    let appended =
        |last| Message::Appended { term: Term(2), round: 1, matched: true, last: Index(last) };
    let outputs = step(&mut raft, now, message(peer(1, 1), appended(1)));
    assert_eq!(
        committed_count(&outputs),
        0,
        "an entry of term 1 was committed by counting replicas"
    );
    let outputs = step(&mut raft, now, message(peer(1, 1), appended(2)));
    assert_eq!(committed_count(&outputs), 2);
}

#[test]
fn an_acknowledgement_by_a_learner_does_not_count_for_the_voter_it_replaces() {
    let (now, mut raft) = candidate();
    step(&mut raft, now, message(peer(1, 1), granted(false)));
    let appended =
        |last| Message::Appended { term: Term(2), round: 1, matched: true, last: Index(last) };
    step(&mut raft, now, message(peer(1, 1), appended(2)));
    let learner = Voter { incarnation: Incarnation(2), ..voter(2) };
    let mut learn = command(2);
    learn.action = cactushatch::control::state::Action::Member(Membership::Learn(learner));
    step(&mut raft, now, Input::Propose(learn));
    let outputs = step(&mut raft, now, message(peer(2, 2), appended(3)));
    assert_eq!(committed_count(&outputs), 0, "the acknowledgement of a learner was counted");
    let later = now + Duration::from_millis(1);
    let outputs = step(&mut raft, later, message(peer(1, 1), appended(3)));
    assert_eq!(committed_count(&outputs), 1);
}

#[test]
fn the_first_voter_with_a_lost_disk_does_not_bootstrap_a_second_cluster() {
    let initial: Vec<Voter> = (0..3).map(voter).collect();
    let mut bootstrap = Bootstrap::new(peer(0, 2), initial.clone());
    assert_eq!(bootstrap.on_hello(&peer(1, 1), Some(members())), None);
    assert_eq!(bootstrap.on_hello(&peer(2, 1), Some(members())), None);
    assert_eq!(
        bootstrap.on_hello(&peer(2, 2), None),
        None,
        "a voter that has members counted as blank"
    );
    let mut other = Bootstrap::new(peer(1, 1), initial.clone());
    assert_eq!(other.on_hello(&peer(0, 1), None), None);
    assert_eq!(
        other.on_hello(&peer(2, 1), None),
        None,
        "a voter other than the first one bootstrapped a cluster"
    );
    let mut first = Bootstrap::new(peer(0, 1), initial);
    assert_eq!(first.on_hello(&peer(1, 1), None), None);
    assert_eq!(first.on_hello(&peer(2, 1), None), Some(members()));
}
