//! Upstream instances: their announcements, status probes, promotion statements, and the connections to them.

pub mod announcement;
pub mod connection;
pub mod probe;
pub mod status;
pub mod step;
