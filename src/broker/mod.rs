//! The statement pooler: runs the statements of sessions over shared connections, for protocols that implement
//! [`Codec`](crate::statement::Codec).
//!
//! A session checks out a connection for a statement or a transaction and returns it afterwards. Its session variables
//! and prepared statements are set up on each connection that it uses. Decisions are made by state machines without I/O
//! ([`session`], [`setup`], [`dispatch`], [`health`], [`home`], [`identity`], [`need`], [`peer`], [`pool`],
//! [`position`], [`quota`], [`recovery`], [`stranded`]); the other modules do the I/O.
//! Statements of groups that other proxies serve are forwarded to these. See `docs/PLATFORM.md`, "The broker" and
//! "Forwarding".

mod accept;
mod caller;
mod checkout;
mod connection;
pub mod dispatch;
mod explain;
mod forward;
mod guard;
pub mod health;
pub mod home;
pub mod identity;
mod member;
mod monitor;
pub mod need;
mod order;
pub mod peer;
mod permits;
pub mod pool;
pub mod position;
mod presence;
pub mod quota;
pub mod recovery;
mod run;
mod serve;
mod server;
pub mod session;
pub mod setup;
mod shared;
mod spend;
mod state;
pub mod stranded;

pub use server::{Server, spawn};
