//! The broker: sessions of statements over shared connections, for protocols whose edge is a
//! [`Codec`](crate::statement::Codec).
//!
//! A session takes a connection for a statement or a transaction and gives it back; what it has set and prepared
//! goes with it. Decisions are plain machines ([`session`], [`applied`], [`dispatch`], [`health`], [`need`], [`stranded`]); the rest
//! moves bytes. See `docs/PLATFORM.md`, "The broker".

mod caller;
mod connection;
pub mod dispatch;
mod explain;
mod guard;
pub mod health;
mod member;
mod monitor;
pub mod need;
mod pool;
mod run;
mod server;
pub mod session;
pub mod setup;
mod shared;
mod state;
pub mod stranded;

pub use server::{Server, spawn};
