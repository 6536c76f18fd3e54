//! Newtypes for the names and numbers that processes exchange, so that the compiler rejects, for example, a
//! term in place of a position. `docs/GLOSSARY.md` defines each of them.

mod name;
mod number;

pub use name::{
    Account, Class, Command, Database, Domain, Group, Instance, Key, Node, Operator, Plan, Request,
    Session,
};
pub use number::{Edition, Incarnation, Index, Position, Revision, Sequence, Term};

/// An error in parsing a name or number.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is empty.
    #[error("a {kind} can't be empty")]
    Empty {
        /// The kind of name or number that was expected.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a {kind} has at most {MAX_NAME_BYTES} bytes, this one has {len}")]
    TooLong {
        /// The kind of name or number that was expected.
        kind: &'static str,
        /// The length of the text in bytes.
        len: usize,
    },
    /// The text contains a character other than letters, digits, `-`, `_`, `.` and `:`.
    #[error("a {kind} has letters, digits and -_.: only, not {found:?}")]
    Character {
        /// The kind of name or number that was expected.
        kind: &'static str,
        /// The first invalid character.
        found: char,
    },
    /// The text is not an unsigned integer.
    #[error("a {kind} is a whole number, not {text:?}")]
    Number {
        /// The kind of name or number that was expected.
        kind: &'static str,
        /// The rejected text.
        text: String,
    },
}

/// The maximum length of a name in bytes. It bounds the size of every frame that carries names.
pub const MAX_NAME_BYTES: usize = 128;
