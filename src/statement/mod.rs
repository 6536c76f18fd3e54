//! Protocol-independent statements: messages from callers, answers of upstreams, and the interface of the codecs that
//! encode and decode both.
//!
//! The request path in `broker` uses only these types. A [`Codec`] implements one protocol; see `docs/PLATFORM.md`,
//! "One path, two edges".

mod answer;
mod call;
mod codec;
mod order;

pub use answer::{Answer, Code, State};
pub use call::{Access, Call, Id, Statement, Template};
pub use codec::{Codec, MAX_LINE_BYTES, Malformed};
pub use order::Order;
