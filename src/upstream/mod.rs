//! What the system knows of upstream instances: announcements, probes, positions, promotions, and the connections
//! to them.

pub mod announcement;
pub mod channel;
pub mod position;
pub mod probe;
