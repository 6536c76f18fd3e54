//! Raft in a simulated cluster, under random schedules of failures.

use std::time::Duration;

use crate::cluster::{Cluster, command, name, voter};
use crate::disk::Fault;
use cactushatch::control::raft::{
    Entry, HEARTBEAT_INTERVAL, Input, MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT, Message, Output,
};
use cactushatch::control::state::Membership;

/// The number of random schedules; each is generated from its seed.
const SEEDS: u64 = 60;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn committed_entries_never_change_under_random_failures() {
    for seed in 0..SEEDS {
        let count = if seed % 3 == 0 { 5 } else { 3 };
        let mut cluster = Cluster::new(count, seed);
        cluster.commit_everywhere();
        for _ in 0..40 {
            let at = cluster.random.usize(0..count);
            match cluster.random.u8(0..10) {
                0 => cluster.kill(at),
                1..=3 => cluster.start(at),
                4 => cluster.cut(at),
                5 => cluster.heal(),
                _ if cluster.nodes[at].live.is_some() => {
                    for _ in 0..7 {
                        cluster.propose(at);
                    }
                }
                _ => {}
            }
            let millis = cluster.random.u64(0..700);
            cluster.run(Duration::from_millis(millis));
        }
        cluster.heal();
        (0..count).for_each(|at| cluster.start(at));
        cluster.commit_everywhere();
    }
}

#[test]
fn a_partitioned_leader_steps_down_and_follows_the_new_leader() {
    let mut cluster = Cluster::new(3, 1);
    cluster.commit_everywhere();
    let old = cluster.await_leader();
    cluster.cut(old);
    let index = cluster.propose(old).expect("the leader does not know yet that it is partitioned");
    cluster.run(MIN_ELECTION_TIMEOUT);
    assert!(
        !cluster.live(old).raft.is_confirmed_leader(cluster.now),
        "the leader is confirmed without its majority"
    );
    cluster.run(MAX_ELECTION_TIMEOUT);
    assert!(
        !cluster.live(old).raft.is_leader(),
        "the leader did not step down without its majority"
    );
    let new = cluster.await_leader();
    assert_ne!(new, old);
    for _ in 0..100 {
        cluster.propose(new);
        cluster.run(Duration::from_millis(100));
    }
    cluster.run(60 * SECOND);
    let term = cluster.live(new).raft.term();
    cluster.heal();
    cluster.run(2 * SECOND);
    assert_eq!(
        cluster.live(new).raft.term(),
        term,
        "the return of the old leader deposed the new one"
    );
    assert!(cluster.live(old).raft.commit() > index);
    cluster.commit_everywhere();
}

#[test]
fn a_leader_that_asks_for_a_confirmation_gets_one_before_the_next_heartbeat() {
    let mut cluster = Cluster::new(3, 2);
    cluster.commit_everywhere();
    let leader = cluster.await_leader();
    let asked_at = cluster.now;
    cluster.step_raft(leader, Input::Confirm);
    let confirmed = |cluster: &Cluster| {
        let contact = cluster.live(leader).raft.last_majority_contact(cluster.now);
        contact.is_some_and(|contact| contact >= asked_at)
    };
    assert!(!confirmed(&cluster), "confirmed without an answer");
    while !confirmed(&cluster) {
        assert!(cluster.now.since(asked_at) < HEARTBEAT_INTERVAL);
        cluster.run(Duration::from_millis(1));
    }
}

#[test]
fn a_partitioned_leader_may_not_act_once_another_can_be_elected() {
    let mut cluster = Cluster::new(3, 3);
    cluster.commit_everywhere();
    let old = cluster.await_leader();
    let until = cluster.live(old).raft.confirmed_until(cluster.now).expect("it leads");
    cluster.cut(old);
    while cluster.live(old).raft.confirmed_until(cluster.now).is_some() {
        assert!(cluster.now < until, "the authority grew without the majority");
        let others = (0..3).filter(|at| *at != old);
        assert!(others.clone().all(|at| !cluster.live(at).raft.is_leader()));
        cluster.run(Duration::from_millis(5));
    }
}

#[test]
fn a_leader_killed_between_sync_and_answer_loses_no_answered_command() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(3, seed);
        cluster.commit_everywhere();
        let leader = cluster.await_leader();
        let (one, other) = ((leader + 1) % 3, (leader + 2) % 3);
        if seed % 2 == 1 {
            cluster.nodes[leader].write_delay = Duration::from_millis(200);
            cluster.cut_pair(leader, other);
        } else if seed % 4 == 0 {
            cluster.cut(leader);
        }
        let index = cluster.propose(leader).expect("a leader takes commands");
        let millis = cluster.random.u64(0..120);
        cluster.run(Duration::from_millis(millis));
        let answered = cluster.live(leader).applied.get(&index).cloned();
        cluster.kill(leader);
        cluster.nodes[leader].write_delay = Duration::ZERO;
        cluster.heal();
        if seed % 2 == 1 {
            cluster.start(leader);
            cluster.kill(one);
        }
        let next = cluster.await_leader();
        cluster.commit_everywhere();
        if answered.is_some() {
            assert_eq!(cluster.live(next).applied.get(&index).cloned(), answered, "seed {seed}");
        }
        (0..3).for_each(|at| cluster.start(at));
        cluster.commit_everywhere();
    }
}

#[test]
fn voters_that_lose_their_disks_in_turn_lose_no_entry() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(3, seed);
        cluster.commit_everywhere();
        for at in [1, 2, 0] {
            for _ in 0..30 {
                let leader = cluster.await_leader();
                cluster.propose(leader);
                cluster.run(Duration::from_millis(20));
            }
            cluster.commit_everywhere();
            let held = cluster.live(at).applied.clone();
            cluster.wipe(at);
            cluster.start(at);
            await_admission(&mut cluster, at);
            for (index, bytes) in held {
                assert_eq!(cluster.live(at).applied.get(&index), Some(&bytes), "seed {seed}");
            }
        }
    }
}

#[test]
fn a_voter_in_contact_with_its_leader_grants_no_vote() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(3, seed);
        cluster.commit_everywhere();
        let leader = cluster.await_leader();
        let term = cluster.live(leader).raft.term();
        cluster.cut_pair(leader, (leader + 1) % 3);
        cluster.run(5 * SECOND);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(cluster.live(leader).raft.term(), term, "seed {seed}");
    }
}

/// The old leader may still be confirmed while the restarted voter could elect another one. [`Cluster`] checks that no two
/// leaders are confirmed at once.
#[test]
fn a_restarted_voter_grants_no_vote_within_the_election_timeout() {
    for seed in 0..60 {
        let mut cluster = Cluster::new(3, seed);
        cluster.commit_everywhere();
        let leader = cluster.await_leader();
        let other = (leader + 1) % 3;
        cluster.cut_pair(leader, other);
        cluster.run(MAX_ELECTION_TIMEOUT);
        cluster.kill((leader + 2) % 3);
        cluster.start((leader + 2) % 3);
        cluster.cut(leader);
        cluster.run(SECOND);
    }
}

#[test]
fn voters_started_in_turn_elect_a_leader_soon_after_two_may_vote() {
    /// Time for two more pre-votes, and for three rounds over a network of up to 15 ms with disks of up to 20 ms.
    const ELECTION_TIME: Duration = Duration::from_millis(200 + 150);
    for seed in 0..60 {
        let mut cluster = Cluster::new(3, seed);
        cluster.lossless = true;
        cluster.commit_everywhere();
        (0..3).for_each(|at| cluster.kill(at));
        cluster.run(SECOND);
        for at in 0..3 {
            cluster.start(at);
            cluster.run(Duration::from_millis(50));
        }
        // The second voter has run for 100 ms by now. A voter grants no vote until it has run for the minimum timeout.
        cluster.run(MIN_ELECTION_TIMEOUT - Duration::from_millis(100) + ELECTION_TIME);
        assert!(cluster.leader().is_some(), "seed {seed}");
    }
}

#[test]
fn votes_and_acknowledgements_are_sent_only_after_the_sync() {
    let mut cluster = Cluster::new(3, 6);
    cluster.commit_everywhere();
    let leader = cluster.await_leader();
    let at = (leader + 1) % 3;
    cluster.kill(leader);
    cluster.run(MIN_ELECTION_TIMEOUT + Duration::from_millis(50));
    let (now, voter) = (cluster.now, cluster.live(at));
    let (term, last) = (voter.raft.term(), voter.raft.last());
    let from = cluster.live((leader + 2) % 3).peer.clone();
    let responds = |outputs: &[Output]| {
        let is_positive = |output: &Output| match output {
            Output::Send { message: Message::Vote { granted, pre_vote: false, .. }, .. } => {
                *granted
            }
            Output::Send { message: Message::Appended { matched, .. }, .. } => *matched,
            _ => false,
        };
        outputs.iter().any(is_positive)
    };
    let voter = cluster.nodes[at].live.as_mut().unwrap();
    let term = term.next().next();
    let entry = Entry { term, index: last.1.next(), command: command(1_000) };
    let vote = Message::RequestVote { term, pre_vote: false, last };
    let append =
        Message::Append { term, round: 1, previous: last, entries: vec![entry], commit: last.1 };
    for message in [vote, append] {
        let from = from.clone();
        let outputs = voter.raft.step(now, Input::Message { from, message: message.clone() });
        assert!(!responds(&outputs), "{message:?} was answered before the sync");
        let ticket = outputs.iter().find_map(|output| match output {
            Output::Persist { ticket, .. } => Some(*ticket),
            _ => None,
        });
        let ticket = ticket.expect("the message causes a change to sync");
        let synced = voter.raft.step(now, Input::Synced { ticket });
        assert!(responds(&synced), "{message:?} was not answered after the sync");
    }
}

#[test]
fn a_voter_is_added_and_the_leader_removed_one_at_a_time() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_spares(3, 1, seed);
        for _ in 0..30 {
            let leader = cluster.await_leader();
            cluster.propose(leader);
            cluster.run(Duration::from_millis(20));
        }
        cluster.start(3);
        cluster.wanted.push_back(Membership::Learn(voter(3)));
        await_admission(&mut cluster, 3);
        let leader = cluster.await_leader();
        cluster.wanted.push_back(Membership::Remove(name(leader)));
        cluster.run(3 * SECOND);
        let next = cluster.await_leader();
        assert_ne!(next, leader, "a removed voter still leads, seed {seed}");
        assert_eq!(cluster.live(next).members().voters.len(), 3);
        assert!(!cluster.live(next).members().voters.contains_key(&name(leader)));
        cluster.kill(leader);
        cluster.commit_everywhere();
        assert!(cluster.wanted.is_empty(), "{:?}", cluster.wanted);
    }
}

#[test]
fn a_request_to_replace_an_already_readmitted_voter_completes() {
    let mut cluster = Cluster::new(3, 8);
    cluster.commit_everywhere();
    let at = (cluster.await_leader() + 1) % 3;
    cluster.wipe(at);
    cluster.start(at);
    await_admission(&mut cluster, at);
    cluster.run(SECOND);
    cluster.wanted.push_back(Membership::Learn(voter(at)));
    cluster.run(3 * SECOND);
    assert!(cluster.wanted.is_empty(), "{:?}", cluster.wanted);
    cluster.commit_everywhere();
}

#[test]
fn the_last_voter_is_not_removed() {
    let mut cluster = Cluster::new(1, 7);
    cluster.commit_everywhere();
    cluster.wanted.push_back(Membership::Remove(name(0)));
    cluster.run(3 * SECOND);
    cluster.commit_everywhere();
    assert_eq!(cluster.live(0).members().voters.len(), 1);
}

/// Runs the cluster until a voter with a new disk is admitted.
fn await_admission(cluster: &mut Cluster, at: usize) {
    for _ in 0..1_000 {
        let leader = cluster.await_leader();
        let peer = cluster.live(at).peer.clone();
        let members = cluster.live(leader).members();
        if members.is_voter(&peer.node, peer.incarnation) {
            return;
        }
        cluster.run(Duration::from_millis(10));
    }
    panic!("the voter was not admitted within 10 s");
}

#[test]
fn losing_a_second_disk_just_after_a_readmission_loses_no_entry() {
    for seed in 0..30 {
        let mut cluster = Cluster::new(3, seed);
        for _ in 0..30 {
            let leader = cluster.await_leader();
            cluster.propose(leader);
            cluster.run(Duration::from_millis(20));
        }
        cluster.commit_everywhere();
        let first = cluster.random.usize(0..3);
        cluster.wipe(first);
        cluster.run(SECOND);
        cluster.start(first);
        await_admission(&mut cluster, first);
        let leader = cluster.await_leader();
        let held = cluster.live(leader).applied.clone();
        let second = (first + 1 + cluster.random.usize(0..2)) % 3;
        cluster.wipe(second);
        cluster.commit_everywhere();
        let leader = cluster.await_leader();
        for (index, bytes) in held {
            assert_eq!(cluster.live(leader).applied.get(&index), Some(&bytes), "seed {seed}");
        }
    }
}

#[test]
fn a_blank_disk_does_not_vote_in_place_of_the_lost_one() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(3, seed);
        cluster.commit_everywhere();
        cluster.kill(2);
        let leader = cluster.await_leader();
        let index = cluster.propose(leader).expect("a leader takes commands");
        cluster.run(SECOND);
        assert!(cluster.is_committed(index));
        let follower = 1 - leader;
        cluster.kill(leader);
        cluster.wipe(follower);
        cluster.start(follower);
        cluster.start(2);
        cluster.run(20 * SECOND);
        assert_eq!(cluster.leader(), None, "a voter without entry {index} leads, seed {seed}");
        cluster.start(leader);
        cluster.commit_everywhere();
    }
}

#[test]
fn a_copy_of_an_old_disk_is_refused() {
    let mut cluster = Cluster::new(3, 3);
    cluster.commit_everywhere();
    let old_disk = cluster.nodes[2].disk.copy();
    cluster.kill(2);
    cluster.start(2);
    cluster.commit_everywhere();
    cluster.run(SECOND);
    cluster.kill(2);
    cluster.nodes[2].disk = old_disk;
    let leader = cluster.await_leader();
    cluster.kill(leader);
    cluster.start(leader);
    cluster.await_leader();
    cluster.start(2);
    cluster.run(3 * SECOND);
    assert!(
        cluster.live(2).refused,
        "a voter with a disk copy from before its last start participates"
    );
    cluster.commit_everywhere();
}

#[test]
fn a_disk_that_lost_acknowledged_entries_is_refused() {
    let mut cluster = Cluster::new(3, 4);
    cluster.commit_everywhere();
    let leader = cluster.await_leader();
    let at = (leader + 1) % 3;
    let old_disk = cluster.nodes[at].disk.copy();
    cluster.commit_everywhere();
    cluster.kill(at);
    cluster.nodes[at].disk = old_disk;
    cluster.start(at);
    cluster.run(3 * SECOND);
    assert!(cluster.live(at).refused, "a voter whose disk lost an entry participates");
}

#[test]
fn a_stop_while_writing_a_snapshot_loses_no_entry() {
    for writes in 0..60 {
        let mut cluster = Cluster::new(3, 5);
        cluster.commit_everywhere();
        let leader = cluster.await_leader();
        let at = (leader + 1) % 3;
        cluster.nodes[at].disk.set_fault(Some(Fault::StopAfter(writes)));
        for _ in 0..45 {
            let leader = cluster.await_leader();
            cluster.propose(leader);
            cluster.run(Duration::from_millis(25));
        }
        cluster.kill(at);
        cluster.start(at);
        assert!(
            cluster.nodes[at].live.is_some(),
            "the disk was refused after a stop at write {writes}"
        );
        let other = (leader + 2) % 3;
        cluster.kill(other);
        cluster.commit_everywhere();
    }
}
