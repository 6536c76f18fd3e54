//! Statements independent of any protocol: what callers ask, what upstreams answer, and the edge that turns both
//! into bytes.
//!
//! The request path in `broker` decides over these types only. A [`Codec`] is the edge of one protocol; see
//! `docs/PLATFORM.md`, "One path, two edges".

mod answer;
mod call;
mod codec;
mod order;

pub use answer::{Answer, Code, State};
pub use call::{Access, Call, Id, Statement, Template};
pub use codec::{Codec, MAX_LINE_BYTES, Malformed};
pub use order::Order;
