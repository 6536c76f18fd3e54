//! What the system knows of upstream instances: announcements, probes, positions, promotions.

pub mod announcement;
pub mod position;
pub mod probe;
