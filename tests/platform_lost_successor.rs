//! Tests on real processes that a group goes on after the replica was lost that was to lead it.

mod lines;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use lines::{Fleet, PROXIES};

/// How soon after the last trouble a group has a primary again (`RecoverS`).
const RECOVERY_BOUND: Duration = Duration::from_secs(12);

/// Guards against a primary that stays frozen because it is the only instance left, with a term reserved for a lost one.
#[test]
fn a_primary_that_is_the_only_instance_left_is_read_again() {
    let (first, successor, other) = ("i-21", "i-22", "i-23");
    let fleet = Fleet::up_behind_paths(204);
    fleet.connect(PROXIES[0], "desk").query_until_done("PUT book a");
    fleet.group.detach(other);
    fleet.group.answer_again(other);
    fleet.connect(PROXIES[0], "desk").query_until_done("PUT book b");
    fleet.group.delay_promotions(Duration::from_secs(2));
    fleet.group.crash(first);
    fleet.wait_until("the successor is ordered", |fleet| {
        fleet.group.promotions.lock().unwrap().iter().any(|(id, ..)| id == successor)
    });
    fleet.group.crash(successor);
    fleet.group.crash(other);
    std::thread::sleep(Duration::from_secs(3));
    fleet.group.recover(first);
    let returned_at = Instant::now();
    let caller = Mutex::new(fleet.connect(PROXIES[1], "desk"));
    fleet.wait_until("a read is answered", |_| {
        let answer = caller.lock().unwrap().query("FETCH book");
        answer.is_some_and(|answer| answer.result.starts_with("DONE"))
    });
    let elapsed = returned_at.elapsed();
    println!("served after {elapsed:?} by {}", fleet.group.primary());
    assert!(elapsed < RECOVERY_BOUND, "{elapsed:?}: {}", fleet.logs());
    assert_eq!(fleet.group.values_of("book"), ["a", "b"]);
}

/// Guards against review/8: the term reserved for a replica that was lost kept the group frozen for good, and the replica that
/// was behind was never told to receive again.
#[test]
fn a_group_goes_on_when_its_primary_returns_after_the_chosen_replica_was_lost() {
    let (first, successor, behind) = ("i-21", "i-22", "i-23");
    let fleet = Fleet::up_behind_paths(202);
    let mut caller = fleet.connect(PROXIES[0], "desk");
    fleet.group.detach(behind);
    fleet.group.answer_again(behind);
    for number in 0..10 {
        caller.query_until_done(&format!("PUT book a{number}"));
    }
    fleet.group.delay_promotions(Duration::from_secs(2));
    fleet.group.crash(first);
    fleet.wait_until("the successor is ordered", |fleet| {
        fleet.group.promotions.lock().unwrap().iter().any(|(id, ..)| id == successor)
    });
    fleet.group.crash(successor);
    std::thread::sleep(Duration::from_secs(3));
    fleet.group.delay_promotions(Duration::ZERO);
    fleet.group.recover(first);
    fleet.group.attach(behind);
    let returned_at = Instant::now();
    let caller = Mutex::new(fleet.connect(PROXIES[1], "desk"));
    fleet.wait_until("a write is acknowledged", |_| {
        let answer = caller.lock().unwrap().query("PUT book b");
        answer.is_some_and(|answer| answer.result.starts_with("DONE"))
    });
    let elapsed = returned_at.elapsed();
    println!("served after {elapsed:?} by {}", fleet.group.primary());
    assert!(elapsed < RECOVERY_BOUND, "{elapsed:?}: {}", fleet.logs());
    let values = fleet.group.values_of("book");
    for number in 0..10 {
        assert!(values.contains(&format!("a{number}")), "{values:?}");
    }
}
