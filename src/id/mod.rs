//! Newtypes for the names and numbers that processes exchange, so that a term is never passed for a
//! position. See `docs/GLOSSARY.md` for what each one stands for.

mod name;
mod number;

pub use name::{
    Class, Command, Customer, Database, Domain, Group, Instance, Key, Node, Operator, Plan,
    Request, Session,
};
pub use number::{Edition, Incarnation, Index, Position, Revision, Sequence, Term};

/// Why a text is not a valid name or number.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a {kind} can't be empty")]
    Empty {
        /// What the text was to name.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a {kind} has at most {MAX_NAME_BYTES} bytes, this one has {len}")]
    TooLong {
        /// What the text was to name.
        kind: &'static str,
        /// The length of the text in bytes.
        len: usize,
    },
    /// The text has a character outside letters, digits, `-`, `_`, `.` and `:`.
    #[error("a {kind} has letters, digits and -_.: only, not {found:?}")]
    Character {
        /// What the text was to name.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
    /// The text is not a whole number.
    #[error("a {kind} is a whole number, not {text:?}")]
    Number {
        /// What the text was to name.
        kind: &'static str,
        /// The text.
        text: String,
    },
}

/// The longest name, in bytes; it bounds every frame that carries names.
pub const MAX_NAME_BYTES: usize = 128;
