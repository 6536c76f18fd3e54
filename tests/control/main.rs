//! Tests of control: the replicated log, its disk, the replicated state, and voters with sockets.

mod cluster;
mod disk;
mod link;
mod raft;
mod relay;
mod seeds;
mod seeds_server;
mod server;
mod silence;
mod state;
mod store;
mod vote;
