//! Monotonically increasing numbers, such as terms, positions and revisions.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::Error;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the successor of this number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let number = text.parse();
                number.map(Self).map_err(|_| Error::Number { kind: $kind, text: text.to_owned() })
            }
        }
    };
}

number!(
    /// A term of the control log or of a group. A group's term also identifies its epoch and its timeline.
    Term, "term");
number!(
    /// A position in the log of an upstream. Positions are comparable only within the history of one term.
    Position, "position");
number!(
    /// A revision of the configuration.
    Revision, "revision");
number!(
    /// A version number that the operator gives to the declarations. The highest number takes precedence.
    Edition, "edition");
number!(
    /// An index in the control log.
    Index, "index");
number!(
    /// An incarnation of a process or disk. A restarted process or a replaced disk has a greater number.
    Incarnation, "incarnation");
number!(
    /// A sequence number of messages from one process to another.
    Sequence, "sequence");
