//! Protocol-independent statements: messages from callers, answers of upstreams, and the interface of the codecs that
//! encode and decode both.
//!
//! The request path in `broker` uses only these types. A [`Codec`] implements one protocol; see `docs/PLATFORM.md`,
//! "One path, two edges".

mod answer;
mod codec;
mod command;
mod input;
mod place;
mod request;
mod text;

pub use answer::{Answer, Code, State};
pub use codec::{Codec, DecodeError, EncodeError, Joint, MAX_LINE_BYTES, Next};
pub use command::Command;
pub use input::Input;
pub use place::Place;
pub use request::{Access, Id, Request, Statement, Template};
pub use text::Text;
