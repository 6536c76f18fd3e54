//! What an instance's status says of acknowledged writes.

use cactushatch::config::Durability;
use cactushatch::id::{Position, Term};
use cactushatch::upstream::position::Status;
use cactushatch::wire::Role;

/// A primary whose term began at 100.
fn primary(position: u64, durable: u64) -> Status {
    Status {
        role: Role::Primary,
        term: Term(2),
        position: Position(position),
        received: Position(position),
        durable: Position(durable),
        start: Position(100),
    }
}

#[test]
fn a_new_primary_without_followers_covers_what_earlier_terms_acknowledged() {
    let status = primary(100, 0);
    assert_eq!(status.acknowledged(Durability::Majority), Position(100));
}

#[test]
fn what_no_majority_holds_is_not_acknowledged() {
    let status = primary(120, 110);
    assert_eq!(status.acknowledged(Durability::Majority), Position(110));
    assert_eq!(status.acknowledged(Durability::Primary), Position(120));
}
