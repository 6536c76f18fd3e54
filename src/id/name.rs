//! Names: short strings with a restricted character set that are cheap to clone.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Error, MAX_NAME_BYTES};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                validate($kind, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.to_string()
            }
        }
    };
}

name!(
    /// A database group: one primary and its replicas.
    Group, "group");
name!(
    /// The database name with which callers open a session. It maps to a group.
    Database, "database");
name!(
    /// An upstream instance of a group.
    Instance, "instance");
name!(
    /// A failure domain.
    Domain, "failure domain");
name!(
    /// A process of the system: a proxy or a control process.
    Node, "node");
name!(
    /// A session of a caller, which may span several connections and proxies.
    Session, "session");
name!(
    /// The idempotency key of a `once` request, chosen by the caller.
    Key, "key");
name!(
    /// A class of requests with a common priority and deadline.
    Class, "class");
name!(
    /// A kind of request that the declarations name.
    Request, "request");
name!(
    /// A client account: who the callers of a session belong to. Capacity is shared fairly between accounts.
    Account, "account");
name!(
    /// A plan that awaits confirmation by an operator.
    Plan, "plan");
name!(
    /// The id of an operator's command. A resent command keeps its id, by which control recognizes it.
    Command, "command");
name!(
    /// The operator who issued a command.
    Operator, "operator");

fn validate(kind: &'static str, text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong { kind, len: text.len() });
    }
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(found) => Err(Error::Character { kind, found }),
        None => Ok(()),
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}
