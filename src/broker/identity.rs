//! Whose statements a session runs. A state machine without I/O.
//!
//! Load: hundreds of accounts with a few large ones, thousands of sessions for each proxy, and declarations that change
//! while sessions are open. A key that was withdrawn must not start an operation once the proxy has the declarations
//! that withdraw it, and a transaction must not outlast its account for long. Revisions are totally ordered, so the
//! newest one that a process has seen decides (Lamport, "Time, clocks, and the ordering of events", 1978).
//!
//! Memory: one entry for each key of the declarations ([`Keys`], shared by all sessions), and one [`Credential`] for
//! each session.

use std::time::Duration;

use crate::clock::Instant;
use crate::config::{Fleet, KeyDigest};
use crate::id;
use crate::report::Rejection;
use crate::wire::Identity;

/// How long a transaction may continue after the session's account has changed or its key was withdrawn. The platform
/// allows 5 s from the acknowledgement of a configuration (`Bounds.RevokeMs`), of which up to 4 s pass until all
/// proxies have it.
pub const TRANSACTION_LIMIT: Duration = Duration::from_secs(1);

/// The keys of one revision of the declarations.
#[derive(Debug, Default)]
pub struct Keys {
    revision: id::Revision,
    /// When this process applied the revision.
    applied_at: Instant,
    is_required: bool,
    /// The account of each key, sorted by key.
    accounts: Vec<(KeyDigest, id::Account)>,
}

/// What a session may do by its key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Standing {
    /// The declarations require no account.
    NotRequired,
    /// The database needs no key and the session has none that is known.
    Anonymous,
    /// The key is one of this account.
    Account(id::Account),
    /// The key is not known and the database needs one.
    #[default]
    Rejected,
}

/// The key of a session and what it is worth by the newest revision seen.
#[derive(Debug, Clone, Default)]
pub struct Credential {
    /// The digest of the key; `None` before the session is opened.
    key: Option<KeyDigest>,
    revision: id::Revision,
    standing: Standing,
    /// Whether the key was once known.
    was_known: bool,
    /// The identity under which the current operation began.
    identity: Option<Identity>,
    /// When the open transaction must end, if its account is no longer that of the session.
    limit: Option<Instant>,
}

impl Keys {
    /// Collects the keys of declarations that were applied at `now`.
    pub fn new(revision: id::Revision, fleet: &Fleet, now: Instant) -> Self {
        let keys_of = |(name, account): (&id::Account, &crate::config::Account)| {
            account.keys.iter().map(|key| (*key, name.clone())).collect::<Vec<_>>()
        };
        let mut accounts: Vec<_> = fleet.account.iter().flat_map(keys_of).collect();
        accounts.sort_unstable();
        Self { revision, applied_at: now, is_required: fleet.require_account, accounts }
    }

    /// Returns the revision of the declarations.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Returns the account of a key.
    fn account(&self, key: KeyDigest) -> Option<&id::Account> {
        let at = self.accounts.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        Some(&self.accounts[at].1)
    }

    fn judge(&self, key: Option<KeyDigest>, is_open: bool) -> Standing {
        if !self.is_required {
            return Standing::NotRequired;
        }
        match key.and_then(|key| self.account(key)) {
            Some(account) => Standing::Account(account.clone()),
            None if is_open => Standing::Anonymous,
            None => Standing::Rejected,
        }
    }

    /// Returns the identity under which the first statement of an operation runs that another proxy forwarded.
    /// `forwarded_under` is the revision of that proxy: its identity is trusted unless this proxy's revision is newer.
    ///
    /// # Errors
    ///
    /// Fails if the session's key has no account by the newer revision and the database needs one.
    pub fn check_forwarded(
        &self,
        identity: Option<Identity>,
        forwarded_under: id::Revision,
        is_open: bool,
    ) -> Result<Option<Identity>, Rejection> {
        if !self.is_required || forwarded_under >= self.revision {
            return Ok(identity);
        }
        let key = identity.as_ref().and_then(|identity| identity.key);
        let reason = if key.is_some() { Rejection::WithdrawnKey } else { Rejection::UnknownKey };
        self.judge(key, is_open).identity(key, self.revision).ok_or(reason)
    }
}

impl Standing {
    /// Returns the identity of an operation, which is `None` without an account, or `None` if nothing may run.
    fn identity(&self, key: Option<KeyDigest>, revision: id::Revision) -> Option<Option<Identity>> {
        match self {
            Self::NotRequired | Self::Anonymous => Some(None),
            Self::Account(account) => {
                Some(Some(Identity { account: account.clone(), key, revision }))
            }
            Self::Rejected => None,
        }
    }

    fn account(&self) -> Option<&id::Account> {
        match self {
            Self::Account(account) => Some(account),
            Self::NotRequired | Self::Anonymous | Self::Rejected => None,
        }
    }
}

impl Credential {
    /// Creates the credential of a session that opens. It may run nothing until its key is judged.
    pub fn new(key: KeyDigest) -> Self {
        Self { key: Some(key), ..Self::default() }
    }

    /// Returns the newest revision by which the key was judged.
    pub fn revision(&self) -> id::Revision {
        self.revision
    }

    /// Judges the key again. Keys of an older revision are ignored, so that a withdrawn key stays withdrawn.
    pub fn update(&mut self, keys: &Keys, is_open: bool) {
        if keys.revision <= self.revision {
            return;
        }
        self.revision = keys.revision;
        self.standing = keys.judge(self.key, is_open);
        self.was_known |= self.standing.account().is_some();
        let began_under = self.identity.as_ref().map(|identity| &identity.account);
        let holds = keys.is_required.then(|| self.standing.account());
        if holds.is_none_or(|account| account == began_under && !self.is_rejected()) {
            self.limit = None;
        } else {
            self.limit.get_or_insert(keys.applied_at + TRANSACTION_LIMIT);
        }
    }

    /// Begins an operation under the account that the key has now.
    ///
    /// # Errors
    ///
    /// Fails if the session may run nothing.
    pub fn begin(&mut self) -> Result<(), Rejection> {
        let identity = self.standing.identity(self.key, self.revision);
        self.identity = identity.ok_or(self.reason())?;
        self.limit = None;
        Ok(())
    }

    /// Returns the identity under which the current operation began; `None` without an account.
    pub fn identity(&self) -> Option<&Identity> {
        self.identity.as_ref()
    }

    /// Returns the account of the key by the newest revision.
    pub fn account(&self) -> Option<&id::Account> {
        self.standing.account()
    }

    /// Returns whether a session without a transaction must end.
    pub fn is_rejected(&self) -> bool {
        self.standing == Standing::Rejected
    }

    /// Returns why the session is rejected.
    pub fn reason(&self) -> Rejection {
        if self.was_known { Rejection::WithdrawnKey } else { Rejection::UnknownKey }
    }

    /// Returns when the open transaction must end, if its account is no longer that of the session.
    pub fn transaction_limit(&self) -> Option<Instant> {
        self.limit
    }
}
