//! The replicated log as pure machines, under schedules of failures.

use std::time::Duration;

use crate::cluster::Cluster;
use crate::disk::Fault;
use cactushatch::control::raft::{MAX_ELECTION, MIN_ELECTION};

/// How many schedules of failures are tried; each is the schedule of its seed.
const SEEDS: u64 = 60;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn nothing_committed_changes_under_random_failures() {
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
fn a_leader_that_was_isolated_for_long_answers_nothing_and_follows() {
    let mut cluster = Cluster::new(3, 1);
    cluster.commit_everywhere();
    let old = cluster.await_leader();
    cluster.cut(old);
    let index = cluster.propose(old).expect("it does not know yet");
    cluster.run(MIN_ELECTION);
    assert!(!cluster.live(old).raft.leads(cluster.now), "it speaks without its majority");
    cluster.run(MAX_ELECTION);
    assert!(!cluster.live(old).raft.is_leader(), "it leads without its majority");
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
    assert_eq!(cluster.live(new).raft.term(), term, "its return deposed the leader");
    assert!(cluster.live(old).raft.commit() > index);
    cluster.commit_everywhere();
}

#[test]
fn a_leader_killed_between_sync_and_answer_loses_nothing_that_was_answered() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::new(3, seed);
        cluster.commit_everywhere();
        let leader = cluster.await_leader();
        let index = cluster.propose(leader).expect("a leader takes commands");
        let millis = cluster.random.u64(0..60);
        cluster.run(Duration::from_millis(millis));
        let answered = cluster.live(leader).applied.get(&index).cloned();
        cluster.kill(leader);
        let next = cluster.await_leader();
        cluster.commit_everywhere();
        if answered.is_some() {
            assert_eq!(cluster.live(next).applied.get(&index).cloned(), answered, "seed {seed}");
        }
        cluster.start(leader);
        cluster.commit_everywhere();
    }
}

#[test]
fn two_voters_lose_their_disks_in_turn() {
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
            repaired(&mut cluster, at);
            for (index, bytes) in held {
                assert_eq!(cluster.live(at).applied.get(&index), Some(&bytes), "seed {seed}");
            }
        }
    }
}

/// Waits until a voter with a new disk was admitted.
fn repaired(cluster: &mut Cluster, at: usize) {
    for _ in 0..1_000 {
        let leader = cluster.await_leader();
        let peer = cluster.live(at).peer.clone();
        let members = cluster.live(leader).members();
        if members.votes(&peer.node, peer.incarnation) {
            return;
        }
        cluster.run(Duration::from_millis(10));
    }
    panic!("the voter was not admitted after ten seconds");
}

#[test]
fn a_second_voter_lost_just_after_a_repair_loses_nothing() {
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
        repaired(&mut cluster, first);
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
fn a_blank_disk_never_votes_as_the_old_one() {
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
        assert_eq!(cluster.leader(), None, "a voter without {index} leads, seed {seed}");
        cluster.start(leader);
        cluster.commit_everywhere();
    }
}

#[test]
fn a_copy_of_an_old_disk_is_refused() {
    let mut cluster = Cluster::new(3, 3);
    cluster.commit_everywhere();
    let image = cluster.nodes[2].disk.copy();
    cluster.kill(2);
    cluster.start(2);
    cluster.commit_everywhere();
    cluster.run(SECOND);
    cluster.kill(2);
    cluster.nodes[2].disk = image;
    cluster.start(2);
    cluster.run(3 * SECOND);
    assert!(cluster.live(2).refused, "a disk image from before the last start takes part");
    cluster.commit_everywhere();
}

#[test]
fn a_disk_that_lost_what_it_acknowledged_is_refused() {
    let mut cluster = Cluster::new(3, 4);
    cluster.commit_everywhere();
    let leader = cluster.await_leader();
    let at = (leader + 1) % 3;
    let image = cluster.nodes[at].disk.copy();
    cluster.commit_everywhere();
    cluster.kill(at);
    cluster.nodes[at].disk = image;
    cluster.start(at);
    cluster.run(3 * SECOND);
    assert!(cluster.live(at).refused, "a disk that forgot an entry takes part");
}

#[test]
fn a_stop_in_the_middle_of_a_snapshot_loses_nothing() {
    for writes in 0..60 {
        let mut cluster = Cluster::new(3, 5);
        cluster.commit_everywhere();
        let leader = cluster.await_leader();
        let at = (leader + 1) % 3;
        cluster.nodes[at].disk.fail(Some(Fault::StopAfter(writes)));
        for _ in 0..45 {
            let leader = cluster.await_leader();
            cluster.propose(leader);
            cluster.run(Duration::from_millis(25));
        }
        cluster.kill(at);
        cluster.start(at);
        assert!(cluster.nodes[at].live.is_some(), "the disk is refused after {writes} writes");
        let other = (leader + 2) % 3;
        cluster.kill(other);
        cluster.commit_everywhere();
    }
}
