//! Numbers that only grow: terms, positions, revisions.

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
            /// Returns the number that follows.
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
    /// A term: of the control log, or of a group, where it is also the group's epoch and timeline.
    Term, "term");
number!(
    /// A position in the log of an upstream, comparable only within one term's history.
    Position, "position");
number!(
    /// A revision of the configuration.
    Revision, "revision");
number!(
    /// An operator's own number of the declarations; the highest one counts.
    Edition, "edition");
number!(
    /// An index in the control log.
    Index, "index");
number!(
    /// One life of a process or disk: a later life has a greater number.
    Incarnation, "incarnation");
number!(
    /// A sequence number of messages between two processes.
    Sequence, "sequence");
