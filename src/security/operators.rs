//! Operators: who may order something, known by a token.

use sha2::{Digest, Sha256};

use super::file::{self, File};
use super::scram::equal;
use super::{Error, random};
use crate::config::Secret;
use crate::id;

/// The operators of a file, each with the digest of its token. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Operators {
    known: Option<File<Vec<Known>>>,
}

/// An operator and the digest of its token.
#[derive(Debug)]
struct Known {
    name: id::Operator,
    digest: Vec<u8>,
}

/// Why somebody is not let through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an operator's token is needed, and this is none")]
pub struct Denied;

impl Operators {
    /// Reads a file: a line for each operator, its name and the digest of its token as `cactushatch secret operator`
    /// prints them. Without a file nobody is asked.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or a line is not valid.
    pub fn open(secret: Option<&Secret>) -> Result<Self, Error> {
        Ok(Self { known: secret.map(|secret| file::secret(secret, parse)).transpose()? })
    }

    /// Reads the file again when it changed.
    pub fn refresh(&self) {
        self.known.iter().for_each(File::refresh);
    }

    /// Returns whose token this is; `None` when nobody is asked.
    ///
    /// # Errors
    ///
    /// Fails when tokens are asked for and this is none of them.
    pub fn identify(&self, token: Option<&str>) -> Result<Option<id::Operator>, Denied> {
        let Some(known) = &self.known else {
            return Ok(None);
        };
        let digest = Sha256::digest(token.ok_or(Denied)?);
        let known = known.get();
        let found = known.iter().find(|known| equal(&known.digest, &digest));
        found.map(|known| Some(known.name.clone())).ok_or(Denied)
    }
}

/// Returns the digest of a token, as the file has it.
pub fn digest(token: &str) -> String {
    random::to_hex(&Sha256::digest(token))
}

fn parse(path: &str, text: &str) -> Result<Vec<Known>, Error> {
    let mut all = Vec::new();
    for (line, content) in file::lines(text) {
        let parsed = content.split_once(char::is_whitespace).and_then(|(name, digest)| {
            let digest = random::from_hex(digest.trim()).filter(|digest| digest.len() == 32)?;
            Some(Known { name: name.parse().ok()?, digest })
        });
        let Some(operator) = parsed else {
            let problem = "valid: an operator's name and the 64 hexadecimal digits of its digest";
            return Err(Error::Line { path: path.to_owned(), line, problem });
        };
        all.push(operator);
    }
    Ok(all)
}
