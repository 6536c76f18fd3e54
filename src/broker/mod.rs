//! The broker: sessions of statements over shared connections, for protocols whose edge is a
//! [`Codec`](crate::statement::Codec).
//!
//! A session takes a connection for a statement or a transaction and gives it back; what it has set and prepared
//! goes with it. Decisions are plain machines ([`session`], [`applied`], [`dispatch`], [`health`], [`need`], [`stranded`]); the rest
//! moves bytes. See `docs/PLATFORM.md`, "The broker".

pub mod applied;
mod caller;
mod closing;
pub mod dispatch;
mod guard;
pub mod health;
mod idle;
mod keeper;
mod lane;
mod member;
pub mod need;
mod run;
mod server;
pub mod session;
mod shared;
mod state;
pub mod stranded;

pub use server::{Server, spawn};

/// Why a broker can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings have no `[proxy]` table.
    #[error("the settings have no [proxy] table")]
    NotProxy,
    /// A file of keys can't be used.
    #[error("{0}")]
    Security(#[from] crate::security::Error),
    /// A socket failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}
