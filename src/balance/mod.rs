//! Placement of statements with stale information: what a proxy learns of servers that others use too, and how it
//! chooses between them. State machines without I/O. See `docs/design/placement.md`.

pub mod choice;
pub mod lag;
pub mod pace;
pub mod published;
