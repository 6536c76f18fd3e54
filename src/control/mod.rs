//! Control: the durable decisions, on a few VMs with disks.
//!
//! Everything that decides is a pure machine with `step(now, input) -> outputs`; the edges (sockets, disk,
//! timers) are in `server` and `operator`. See `docs/DESIGN.md`, "Control".

pub mod budget;
mod core;
pub mod discovery;
pub mod failover;
mod gateway;
mod greet;
mod journal;
pub mod leader;
pub mod lease;
mod link;
pub mod member;
pub mod operator;
pub mod promotion;
pub mod raft;
pub mod registry;
mod server;
pub mod state;
pub mod store;
mod submit;

pub use gateway::Unavailable;
pub use server::{Server, spawn, spawn_with_disk, spawn_with_protocol};

/// Why a control process can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings have no `[control]` table.
    #[error("the settings have no [control] table")]
    NotControl,
    /// The settings name no data folder.
    #[error("a control process needs a data folder")]
    NoData,
    /// A file of keys, certificates or users can't be used.
    #[error("{0}")]
    Security(#[from] crate::security::Error),
    /// A socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The log on disk failed.
    #[error("{0}")]
    Store(#[from] store::Error),
}
