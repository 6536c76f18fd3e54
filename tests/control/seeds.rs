//! Voters that discover each other by seeds: the first start, spare processes, lost disks and permanent replacements.

use std::time::Duration;

use crate::cluster::{Cluster, name};

const SECONDS: Duration = Duration::from_secs(1);

/// Returns the names of the voters known to the leader, in order.
fn voter_names(cluster: &mut Cluster) -> Vec<String> {
    let leader = cluster.await_leader();
    let members = cluster.live(leader).members();
    members.voters.keys().map(ToString::to_string).collect()
}

fn settle(cluster: &mut Cluster) {
    cluster.run(SECONDS * 6);
    cluster.commit_everywhere();
}

#[test]
fn the_seeds_create_the_system_and_a_fourth_process_becomes_a_learner() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_seeds(4, 0, 1, seed);
        settle(&mut cluster);
        assert_eq!(voter_names(&mut cluster), ["control-1", "control-2", "control-3"]);
        let leader = cluster.await_leader();
        assert!(cluster.live(leader).members().learners.contains_key(&name(3)), "seed {seed}");
    }
}

#[test]
fn a_system_that_tolerates_two_losses_has_five_voters() {
    let mut cluster = Cluster::with_seeds(8, 0, 2, 1);
    settle(&mut cluster);
    assert_eq!(voter_names(&mut cluster).len(), 5);
}

/// Blank disks may be lost ones. If they were enough to create a system, a second one could start beside the first.
#[test]
fn blank_disks_create_no_system_unless_the_settings_declare_a_first_start() {
    let mut cluster = Cluster::with_seeds(0, 3, 1, 1);
    (0..3).for_each(|at| cluster.start(at));
    cluster.run(SECONDS * 20);
    assert!(cluster.leader().is_none());
}

#[test]
fn a_learner_replaces_a_voter_that_is_gone() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_seeds(4, 0, 1, seed);
        settle(&mut cluster);
        let leader = cluster.await_leader();
        cluster.kill(leader);
        cluster.run(SECONDS * 5);
        assert_eq!(voter_names(&mut cluster).len(), 3, "seed {seed}");
        assert!(!voter_names(&mut cluster).contains(&name(leader).to_string()), "seed {seed}");
        // There are three voters again, so one more may be lost.
        let leader = cluster.await_leader();
        cluster.kill(leader);
        cluster.run(SECONDS * 5);
        cluster.commit_everywhere();
    }
}

/// A process that is gone permanently is replaced by one with a new name, address and disk. Four seconds after the start
/// of the replacement, another voter may be lost.
#[test]
fn a_replacement_process_votes_within_four_seconds() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_seeds(3, 1, 1, seed);
        settle(&mut cluster);
        cluster.kill(0);
        cluster.run(SECONDS);
        cluster.start(3);
        cluster.run(SECONDS * 4);
        assert_eq!(
            voter_names(&mut cluster),
            ["control-2", "control-3", "control-4"],
            "seed {seed}"
        );
        cluster.kill(1);
        cluster.run(SECONDS * 2);
        cluster.commit_everywhere();
    }
}

#[test]
fn a_voter_that_lost_its_disk_votes_again() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_seeds(3, 0, 1, seed);
        settle(&mut cluster);
        cluster.wipe(1);
        cluster.run(SECONDS);
        cluster.start(1);
        settle(&mut cluster);
        assert_eq!(voter_names(&mut cluster).len(), 3, "seed {seed}");
        cluster.kill(0);
        cluster.run(SECONDS * 3);
        cluster.commit_everywhere();
    }
}

/// A voter that is partitioned for long is replaced, and becomes a learner once it is reachable again.
#[test]
fn a_removed_voter_returns_as_a_learner() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_seeds(4, 0, 1, seed);
        settle(&mut cluster);
        let leader = cluster.await_leader();
        cluster.cut(leader);
        cluster.run(SECONDS * 6);
        cluster.heal();
        settle(&mut cluster);
        let now = cluster.await_leader();
        let members = cluster.live(now).members();
        assert!(members.learners.contains_key(&name(leader)), "seed {seed}: {members:?}");
    }
}

/// Two of the three seeds are replaced one after the other, and then a voter loses its disk. The remaining seed may not
/// be the leader, but it knows the leader.
#[test]
fn a_voter_that_lost_its_disk_votes_again_when_most_seeds_are_gone() {
    for seed in 0..10 {
        let mut cluster = Cluster::with_seeds(3, 2, 1, seed);
        settle(&mut cluster);
        for (gone, replacement) in [(0, 3), (1, 4)] {
            cluster.kill(gone);
            cluster.run(SECONDS);
            cluster.start(replacement);
            settle(&mut cluster);
        }
        let leader = cluster.await_leader();
        let other =
            [3, 4].into_iter().find(|at| *at != leader).expect("one of the two is not the leader");
        cluster.wipe(other);
        cluster.run(SECONDS);
        cluster.start(other);
        cluster.run(SECONDS * 3);
        let leader = cluster.await_leader();
        cluster.kill(leader);
        cluster.run(SECONDS * 3);
        cluster.commit_everywhere();
    }
}

/// All processes lose power at once, and one of them loses its disk too. Committed entries must survive.
#[test]
fn a_committed_entry_survives_a_power_loss_of_all_and_the_loss_of_one_disk() {
    for seed in 0..20 {
        let mut cluster = Cluster::with_seeds(4, 0, 1, seed);
        settle(&mut cluster);
        let leader = cluster.await_leader();
        let index = cluster.propose(leader).expect("a leader accepts commands");
        while !cluster.is_committed(index) {
            cluster.run(Duration::from_millis(5));
        }
        cluster.wipe(leader);
        (0..4).filter(|at| *at != leader).for_each(|at| cluster.kill(at));
        cluster.run(SECONDS);
        (0..4).for_each(|at| cluster.start(at));
        settle(&mut cluster);
        let now = cluster.await_leader();
        assert!(cluster.live(now).applied.contains_key(&index), "seed {seed}");
    }
}

/// Processes are killed, restarted and partitioned at random while commands are proposed. [`Cluster`] checks after each
/// step that no committed entry changes; afterwards the system must commit again.
#[test]
fn overlapping_failures_lose_no_committed_entry() {
    for seed in 0..30 {
        let mut cluster = Cluster::with_seeds(4, 1, 1, seed);
        settle(&mut cluster);
        let mut random = fastrand::Rng::with_seed(seed);
        for _ in 0..6 {
            let (one, other) = (random.usize(0..4), random.usize(0..4));
            match random.u8(0..4) {
                0 => cluster.kill(one),
                1 => cluster.cut(one),
                2 => (0..4).for_each(|to| cluster.cut_pair(other, to)),
                _ => cluster.heal(),
            }
            if let Some(leader) = cluster.leader() {
                cluster.propose(leader);
            }
            cluster.run(Duration::from_millis(random.u64(100..4_000)));
            cluster.start(one);
        }
        cluster.heal();
        (0..4).for_each(|at| cluster.start(at));
        cluster.run(SECONDS * 12);
        cluster.commit_everywhere();
    }
}
