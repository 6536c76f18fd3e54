//! The callers that a proxy lets in.

use std::collections::HashMap;

use super::file::{self, File};
use super::scram::Verifier;
use super::{Error, random};
use crate::config::Secret;

/// The users of a file, each with the verifier of its password. Clones share them.
#[derive(Debug, Clone)]
pub struct Users {
    users: File<HashMap<String, Verifier>>,
    /// Salts of users that don't exist are made of this.
    secret: [u8; 32],
}

impl Users {
    /// Reads a file: a line for each user, its name and its verifier as `cactushatch secret user` prints them.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or a line is not valid.
    pub fn open(secret: &Secret) -> Result<Self, Error> {
        Ok(Self { users: file::secret(secret, parse)?, secret: random::bytes() })
    }

    /// Reads the file again when it changed.
    pub fn refresh(&self) {
        self.users.refresh();
    }

    /// Returns the verifier of a user; an unknown user gets one that no password fits.
    pub fn verifier(&self, user: &str) -> Verifier {
        let known = self.users.get().get(user).cloned();
        known.unwrap_or_else(|| Verifier::unknown(&self.secret, user))
    }
}

fn parse(path: &str, text: &str) -> Result<HashMap<String, Verifier>, Error> {
    let mut users = HashMap::new();
    for (line, content) in file::lines(text) {
        let parsed = content.split_once(char::is_whitespace);
        let parsed =
            parsed.and_then(|(name, verifier)| Some((name, Verifier::parse(verifier.trim())?)));
        let Some((name, verifier)) = parsed else {
            let problem = "valid: a user's name and SCRAM-SHA-256$ITERATIONS:SALT$KEY:KEY";
            return Err(Error::Line { path: path.to_owned(), line, problem });
        };
        users.insert(name.to_owned(), verifier);
    }
    Ok(users)
}
