//! Names: short texts with a restricted alphabet, cheap to clone.

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
            /// Returns the name as text.
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
                check($kind, text)?;
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
    /// The name by which callers open a session; it leads to a group.
    Database, "database");
name!(
    /// One upstream instance of a group.
    Instance, "instance");
name!(
    /// A failure domain.
    Domain, "failure domain");
name!(
    /// A process of the system: a proxy or a control voter.
    Node, "node");
name!(
    /// A caller's session, which may use several connections and proxies.
    Session, "session");
name!(
    /// A caller's idempotency key of a `once` request.
    Key, "key");
name!(
    /// A class of requests that share a priority and a deadline.
    Class, "class");
name!(
    /// A declared request.
    Request, "request");
name!(
    /// A customer of a fleet, between whom capacity is shared fairly.
    Customer, "customer");
name!(
    /// A plan that waits for its confirmation.
    Plan, "plan");
name!(
    /// An operator's command; a resent command has the same id.
    Command, "command");
name!(
    /// Who ordered something.
    Operator, "operator");

fn check(kind: &'static str, text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty { kind });
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong { kind, len: text.len() });
    }
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(Error::Character { kind, found }),
        None => Ok(()),
    }
}

fn allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':')
}
