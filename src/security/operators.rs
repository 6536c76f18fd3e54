//! Operators, who are authenticated by a token.

use sha2::{Digest, Sha256};

use super::file::{self, File};
use super::scram::constant_time_eq;
use super::{Error, random};
use crate::config::Secret;
use crate::id;

/// The operators of a file, each with the digest of a token. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Operators {
    entries: Option<File<Vec<Entry>>>,
}

#[derive(Debug)]
struct Entry {
    name: id::Operator,
    digest: Vec<u8>,
}

/// A request without a valid operator token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an operator's token is needed, and this is none")]
pub struct Unauthorized;

impl Operators {
    /// Loads a file that has a line per operator, with the name and the token's digest as printed by
    /// `cactushatch secret operator`. Without a file no token is required.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or a line is invalid.
    pub fn open(secret: Option<&Secret>) -> Result<Self, Error> {
        Ok(Self { entries: secret.map(|secret| file::open_secret(secret, parse)).transpose()? })
    }

    /// Reloads the file if it has changed.
    pub fn refresh(&self) {
        self.entries.iter().for_each(File::refresh);
    }

    /// Returns the operator of a token, or `None` if no token is required.
    ///
    /// # Errors
    ///
    /// Fails if a token is required and `token` is missing or unknown.
    pub fn identify(&self, token: Option<&str>) -> Result<Option<id::Operator>, Unauthorized> {
        let Some(entries) = &self.entries else {
            return Ok(None);
        };
        let digest = Sha256::digest(token.ok_or(Unauthorized)?);
        let entries = entries.get();
        let found = entries.iter().find(|entry| constant_time_eq(&entry.digest, &digest));
        found.map(|entry| Some(entry.name.clone())).ok_or(Unauthorized)
    }
}

/// Returns the digest of a token in the format of the operators' file.
pub fn token_digest(token: &str) -> String {
    random::encode_hex(&Sha256::digest(token))
}

fn parse(path: &str, text: &str) -> Result<Vec<Entry>, Error> {
    let mut operators = Vec::new();
    for (line, content) in file::numbered_lines(text) {
        let parsed = content.split_once(char::is_whitespace).and_then(|(name, digest)| {
            let digest = random::decode_hex(digest.trim()).filter(|digest| digest.len() == 32)?;
            Some(Entry { name: name.parse().ok()?, digest })
        });
        let Some(operator) = parsed else {
            let problem =
                "expected an operator's name and the 64 hexadecimal digits of a token's digest";
            return Err(Error::Line { path: path.to_owned(), line, problem });
        };
        operators.push(operator);
    }
    Ok(operators)
}
