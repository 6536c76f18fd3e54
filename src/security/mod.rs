//! Authentication: seals on frames between processes of the system, TLS and SCRAM towards callers, TLS and a password
//! towards upstreams, and the tokens of operators.
//!
//! Every secret comes from a file. The files are checked for changes every [`REFRESH_INTERVAL`], so that a new key or
//! certificate takes effect without a restart. If a file becomes invalid, its previous content stays in use. See
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

pub use file::{File, numbered_lines, open_secret};
pub use operators::{Operators, Unauthorized, token_digest};
pub use random::{decode_hex, random_hex};
pub use scram::{Exchange, Verifier};
pub use tls::{Acceptor, Connector};
pub use users::Users;

/// How often the files are checked for changes.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// An invalid file of keys, certificates, users, operators or passwords.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file of a secret can't be read or has too open permissions.
    #[error("{path}: {source}")]
    Secret {
        /// The file.
        path: String,
        /// The cause.
        source: config::SecretError,
    },
    /// A line of the file is invalid. The line itself is never shown, as it may hold a secret.
    #[error("{path}:{line}: {problem}")]
    Line {
        /// The file.
        path: String,
        /// The line number, counted from 1.
        line: usize,
        /// What is wrong or what is expected.
        problem: &'static str,
    },
    /// A certificate or its key can't be used.
    #[error("{path}: {problem}")]
    Certificate {
        /// The file.
        path: String,
        /// What is wrong.
        problem: String,
    },
}

/// The keys, certificates, users and passwords by which a process authenticates itself and its peers.
#[derive(Debug, Clone, Default)]
pub struct Credentials {
    /// The seal on frames between processes of the system.
    pub seal: Seal,
    /// TLS towards callers; `None` if callers connect without TLS.
    pub acceptor: Option<Acceptor>,
    /// The users that callers authenticate as; `None` if callers are not authenticated.
    pub users: Option<Users>,
    /// TLS and password towards upstreams.
    pub upstream: UpstreamAuth,
    /// The operators that may change the system.
    pub operators: Operators,
}

/// TLS and password towards upstreams.
#[derive(Debug, Clone, Default)]
pub struct UpstreamAuth {
    /// TLS towards upstreams; `None` if upstreams are connected to without TLS.
    pub connector: Option<Connector>,
    /// The password towards upstreams, if they ask for one.
    pub password: Option<File<String>>,
}

impl Credentials {
    /// Loads all files that are named in the settings.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't be read or is invalid.
    pub fn open(security: &config::Security) -> Result<Self, Error> {
        let password = |secret: &config::Secret| open_secret(secret, parse_password);
        Ok(Self {
            seal: security.keys.as_ref().map(Seal::open).transpose()?.unwrap_or_default(),
            acceptor: security.tls.as_ref().map(Acceptor::open).transpose()?,
            users: security.users.as_ref().map(Users::open).transpose()?,
            upstream: UpstreamAuth {
                connector: security.upstream_roots.as_deref().map(Connector::open).transpose()?,
                password: security.upstream_password.as_ref().map(password).transpose()?,
            },
            operators: Operators::open(security.operators.as_ref())?,
        })
    }

    /// Reloads changed files every [`REFRESH_INTERVAL`]; never returns.
    pub async fn watch(self, clock: Clock) {
        loop {
            clock.sleep(REFRESH_INTERVAL).await;
            self.refresh();
        }
    }

    /// Reloads the files that have changed.
    pub fn refresh(&self) {
        self.seal.refresh();
        self.acceptor.iter().for_each(Acceptor::refresh);
        self.users.iter().for_each(Users::refresh);
        self.upstream.connector.iter().for_each(Connector::refresh);
        self.upstream.password.iter().for_each(File::refresh);
        self.operators.refresh();
    }
}

#[expect(clippy::unnecessary_wraps, reason = "must match the signature of file parsers")]
fn parse_password(_path: &str, text: &str) -> Result<String, Error> {
    Ok(text.trim().to_owned())
}
