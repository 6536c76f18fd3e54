//! Control: makes and stores the durable decisions, on a few VMs with disks.
//!
//! Decisions are made by state machines without I/O, `step(now, input) -> outputs`; sockets, the disk and timers are in
//! `server` and `operator`. See `docs/DESIGN.md`, "Control".

pub mod budget;
mod core;
mod datagram;
pub mod discovery;
pub mod failover;
mod frames;
mod gateway;
mod greet;
mod journal;
pub mod leader;
mod leader_stream;
pub mod lease;
pub mod link;
pub mod member;
pub mod operator;
pub mod position;
pub mod promotion;
pub mod quota;
pub mod raft;
pub mod registry;
pub mod relay;
mod server;
pub mod serving;
pub mod state;
pub mod store;
mod submit;

pub use gateway::Unavailable;
pub use server::{Server, spawn, spawn_with_disk, spawn_with_protocol};

/// An error that keeps a control process from running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings have no `[control]` table.
    #[error("the settings have no [control] table")]
    NotControl,
    /// The settings name no data directory.
    #[error("the settings of a control process name no data directory")]
    NoData,
    /// A file of keys, certificates or users is unusable.
    #[error("{0}")]
    Security(#[from] crate::security::Error),
    /// A socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The log can't be read from the disk.
    #[error("{0}")]
    Store(#[from] store::Error),
}
