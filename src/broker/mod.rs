//! The broker: sessions of statements over shared connections, for protocols whose edge is a
//! [`Codec`](crate::statement::Codec).
//!
//! A session takes a connection for a statement or a transaction and gives it back; what it has set and prepared
//! goes with it. Decisions are plain machines ([`session`], [`applied`], [`dispatch`], [`health`], [`need`], [`stranded`]); the rest
//! moves bytes. See `docs/PLATFORM.md`, "The broker".

pub mod applied;
mod caller;
pub mod dispatch;
mod explain;
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
