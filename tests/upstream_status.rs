//! The position of acknowledged writes derived from an instance's status.

use cactushatch::config::Durability;
use cactushatch::id::{Position, Term};
use cactushatch::upstream::status::Status;
use cactushatch::wire::Role;

/// Returns the status of a primary whose term began at position 100.
fn primary(position: u64, durable: u64) -> Status {
    Status {
        role: Role::Primary,
        term: Term(2),
        position: Position(position),
        received: Position(position),
        durable: Position(durable),
        start: Position(100),
        paused: None,
    }
}

#[test]
fn new_primary_without_replicas_covers_writes_acknowledged_in_earlier_terms() {
    let status = primary(100, 0);
    assert_eq!(status.acknowledged(Durability::Majority), Position(100));
}

#[test]
fn writes_held_by_no_majority_are_not_acknowledged() {
    let status = primary(120, 110);
    assert_eq!(status.acknowledged(Durability::Majority), Position(110));
    assert_eq!(status.acknowledged(Durability::Primary), Position(120));
}
