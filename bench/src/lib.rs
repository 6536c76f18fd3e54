//! The bench: stand-in upstream, load generator and history checker. It is never shipped.

pub mod check;
pub mod cli;
mod drill;
mod fleet;
pub mod history;
mod link;
mod load;
mod measure;
mod ready;
mod router;
pub mod standin;
