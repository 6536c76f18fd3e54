//! Tests a session's floor against a history with several promotions.

mod machine;

use cactushatch::id;
use cactushatch::proxy::floor::{Mark, Reach};
use cactushatch::wire::Phase;
use machine::epoch;

fn mark(term: u64, position: u64) -> Mark {
    Mark { term: id::Term(term), position: id::Position(position) }
}

#[test]
fn a_write_beyond_a_later_fork_is_lost_even_if_it_lies_before_an_earlier_fork() {
    // Term 2 began at 100, but term 3 forked off at 90.
    let epoch = epoch(3, "i1", Phase::Active, &[(1, 0), (2, 100), (3, 90)]);
    assert_eq!(mark(1, 95).reach(mark(3, 200), &epoch), Reach::Lost);
    assert_eq!(mark(1, 90).reach(mark(3, 200), &epoch), Reach::Reached);
    assert_eq!(mark(1, 95).reach(mark(2, 100), &epoch), Reach::Reached);
}

#[test]
fn a_replica_that_has_not_reached_the_start_of_its_term_is_compared_by_position() {
    let epoch = epoch(2, "i1", Phase::Active, &[(1, 0), (2, 100)]);
    assert_eq!(mark(1, 60).reach(mark(2, 50), &epoch), Reach::Behind);
    assert_eq!(mark(1, 50).reach(mark(2, 50), &epoch), Reach::Reached);
}
