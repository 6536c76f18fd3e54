//! Who is who: seals on frames between our own processes, TLS and SCRAM towards callers, TLS and a password towards
//! upstreams, and the tokens of operators.
//!
//! Every secret comes from a file. The files are looked at again every [`LOOK`], so that a new key or
//! certificate counts without a restart; a file that has become invalid leaves the old content in force. See
//! `docs/operators/security.md`.

mod file;
mod operators;
mod random;
mod scram;
mod tls;
mod users;

use std::time::Duration;

use crate::clock::Clock;
use crate::config;
use crate::wire::Seal;

pub use file::{File, lines, secret as read};
pub use operators::{Denied, Operators, digest};
pub use random::{from_hex, hex as random_hex};
pub use scram::{Exchange, Verifier};
pub use tls::{Acceptor, Connector};
pub use users::Users;

/// How often the files are looked at.
pub const LOOK: Duration = Duration::from_secs(2);

/// Why a file of keys, certificates or users can't be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The secret's file can't be used.
    #[error("{path}: {source}")]
    Secret {
        /// The file.
        path: String,
        /// Why.
        source: config::SecretError,
    },
    /// A line of the file is not valid; the line itself is never shown.
    #[error("{path}:{line}: {problem}")]
    Line {
        /// The file.
        path: String,
        /// The line, counted from 1.
        line: usize,
        /// What is wrong and what would be valid.
        problem: &'static str,
    },
    /// A certificate or its key can't be used.
    #[error("{path}: {problem}")]
    Certificate {
        /// The file.
        path: String,
        /// Why.
        problem: String,
    },
}

/// All that a process authenticates itself and others by.
#[derive(Debug, Clone, Default)]
pub struct Guard {
    /// The seal on frames between our own processes.
    pub seal: Seal,
    /// TLS towards callers.
    pub acceptor: Option<Acceptor>,
    /// The callers that are let in, when they are asked.
    pub users: Option<Users>,
    /// What upstreams are reached with.
    pub upstream: Upstream,
    /// Who may order something.
    pub operators: Operators,
}

/// What upstreams are reached with: TLS and a password, or neither.
#[derive(Debug, Clone, Default)]
pub struct Upstream {
    /// TLS towards upstreams.
    pub connector: Option<Connector>,
    /// The password towards upstreams.
    pub password: Option<File<String>>,
}

impl Guard {
    /// Reads all files that the settings name.
    ///
    /// # Errors
    ///
    /// Fails when one of them can't be used.
    pub fn open(security: &config::Security) -> Result<Self, Error> {
        let password = |secret: &config::Secret| read(secret, trimmed);
        Ok(Self {
            seal: security.keys.as_ref().map(Seal::open).transpose()?.unwrap_or_default(),
            acceptor: security.tls.as_ref().map(Acceptor::open).transpose()?,
            users: security.users.as_ref().map(Users::open).transpose()?,
            upstream: Upstream {
                connector: security.upstream_roots.as_deref().map(Connector::open).transpose()?,
                password: security.upstream_password.as_ref().map(password).transpose()?,
            },
            operators: Operators::open(security.operators.as_ref())?,
        })
    }

    /// Looks at the files for ever, and takes over those that changed.
    pub async fn watch(self, clock: Clock) {
        loop {
            clock.sleep(LOOK).await;
            self.refresh();
        }
    }

    /// Takes over the files that changed since they were read.
    pub fn refresh(&self) {
        self.seal.refresh();
        self.acceptor.iter().for_each(Acceptor::refresh);
        self.users.iter().for_each(Users::refresh);
        self.upstream.connector.iter().for_each(Connector::refresh);
        self.upstream.password.iter().for_each(File::refresh);
        self.operators.refresh();
    }
}

#[expect(clippy::unnecessary_wraps, reason = "every parser of a file has this shape")]
fn trimmed(_path: &str, text: &str) -> Result<String, Error> {
    Ok(text.trim().to_owned())
}
