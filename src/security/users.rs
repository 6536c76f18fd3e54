//! Users that callers authenticate as.

use std::collections::HashMap;

use super::file::{self, File};
use super::scram::Verifier;
use super::{Error, random};
use crate::config::Secret;

/// The users of a file, each with the verifier of a password. Clones share them.
#[derive(Debug, Clone)]
pub struct Users {
    users: File<HashMap<String, Verifier>>,
    /// The salts of unknown users are derived from this.
    salt_secret: [u8; 32],
}

impl Users {
    /// Loads a file that has a line per user, with the name and the verifier as printed by `cactushatch secret user`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a line is invalid.
    pub fn open(secret: &Secret) -> Result<Self, Error> {
        Ok(Self { users: file::open_secret(secret, parse)?, salt_secret: random::random_bytes() })
    }

    /// Reloads the file if it has changed.
    pub fn refresh(&self) {
        self.users.refresh();
    }

    /// Returns the verifier of a user, or one that matches no password if the user is unknown.
    pub fn verifier(&self, user: &str) -> Verifier {
        let verifier = self.users.get().get(user).cloned();
        verifier.unwrap_or_else(|| Verifier::for_unknown_user(&self.salt_secret, user))
    }
}

fn parse(path: &str, text: &str) -> Result<HashMap<String, Verifier>, Error> {
    let mut users = HashMap::new();
    for (line, content) in file::numbered_lines(text) {
        let parsed = content.split_once(char::is_whitespace);
        let parsed =
            parsed.and_then(|(name, verifier)| Some((name, Verifier::parse(verifier.trim())?)));
        let Some((name, verifier)) = parsed else {
            let problem =
                "expected a user's name and SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY";
            return Err(Error::Line { path: path.to_owned(), line, problem });
        };
        users.insert(name.to_owned(), verifier);
    }
    Ok(users)
}
