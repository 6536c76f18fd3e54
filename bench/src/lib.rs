//! The bench: a stand-in upstream, a load generator and a history checker. Not part of a release.

pub mod check;
pub mod cli;
mod drill;
mod fleet;
pub mod history;
mod link;
mod load;
mod measure;
mod ports;
mod ready;
mod router;
pub mod standin;
