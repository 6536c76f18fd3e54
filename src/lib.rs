//! Cactushatch is a database proxy with session consistency.
//!
//! The library contains everything that the `cactushatch` binary runs, so that the tests and the bench
//! exercise the same state machines as production. `docs/DESIGN.md` describes how the modules fit together.

pub mod admin;
pub mod balance;
pub mod broker;
pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod id;
pub mod pgsql;
pub mod proxy;
pub mod report;
pub mod schedule;
pub mod security;
pub mod socket;
pub mod statement;
pub mod upstream;
pub mod wire;
