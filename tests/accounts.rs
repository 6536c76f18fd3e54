//! Client accounts: their declarations, and whose statements a session runs while revisions change.

use cactushatch::broker::identity::{Credential, Keys, TRANSACTION_LIMIT};
use cactushatch::clock::Instant;
use cactushatch::config::{Error, Fleet, KeyDigest};
use cactushatch::id::{Account, Revision};
use cactushatch::report::Rejection;
use cactushatch::wire::Identity;

const MILLIS: u64 = 1_000;

fn at(ms: u64) -> Instant {
    Instant(ms * MILLIS)
}

fn account(name: &str) -> Account {
    name.parse().unwrap()
}

/// Returns declarations with these accounts, each with the keys of which it has the digests.
fn fleet(accounts: &[(&str, &[&str])]) -> Fleet {
    let section = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<_> = keys.iter().map(|key| format!("\"{}\"", KeyDigest::of(key))).collect();
        format!("[account.{name}]\nkeys = [{}]\n", keys.join(", "))
    };
    let sections: String = accounts.iter().map(section).collect();
    Fleet::parse("groups.toml", &format!("require_account = true\n{sections}")).unwrap()
}

fn keys(revision: u64, accounts: &[(&str, &[&str])]) -> Keys {
    Keys::new(Revision(revision), &fleet(accounts), at(1_000 * revision))
}

/// Returns a session with the key `k1`, which is one of `ann` by revision 1, in an operation.
fn session_of_ann() -> Credential {
    let mut session = Credential::new(KeyDigest::of("k1"));
    session.update(&keys(1, &[("ann", &["k1"]), ("ben", &["k2"])]), false);
    assert_eq!(session.begin(), Ok(()));
    assert_eq!(session.identity().unwrap().account, account("ann"));
    session
}

/// Guards against declarations that take effect although two accounts claim one caller, or a quota is incomplete, and
/// against keys that are printed with the fault.
#[test]
fn faults_of_accounts_are_reported_with_their_lines_and_without_keys() {
    let (one, two) = (KeyDigest::of("one"), KeyDigest::of("two"));
    let text = format!(
        r#"[account.ann]
keys = ["{one}", "{two}"]
rate = "50/s"

[account.ben]
keys = [
  "a-key-and-not-its-digest",
  "{two}",
]
burst = 5

[account.cat]
rate = "0/s"
burst = 0

[account.""]
keys = []
quota = 3
"#
    );
    let Err(Error::Invalid(faults)) = Fleet::parse("groups.toml", &text) else {
        panic!("the declarations are accepted");
    };
    let shown = faults.to_string();
    let found: Vec<_> = faults.0.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    let mut expected = [
        (1, "account.ann.burst"),
        (5, "account.ben.rate"),
        (6, "account.ben.keys"),
        (7, "account.ben.keys"),
        (13, "account.cat.rate"),
        (14, "account.cat.burst"),
        (16, "account."),
        (18, "account..quota"),
    ];
    expected.sort_unstable();
    let mut sorted = found.clone();
    sorted.sort_unstable();
    assert_eq!(sorted, expected, "{shown}");
    assert!(shown.contains("has a key that account.ann has too"), "{shown}");
    assert!(!shown.contains("a-key-and") && !shown.contains(&two.to_string()), "{shown}");
}

/// Guards against a session that is served before its key was judged, a key that is known elsewhere only, and an open
/// database that refuses callers.
#[test]
fn an_unknown_key_opens_only_open_databases() {
    let keys = keys(1, &[("ann", &["k1"])]);
    let mut session = Credential::new(KeyDigest::of("k9"));
    assert!(session.is_rejected() && session.begin().is_err());
    session.update(&keys, false);
    assert!(session.is_rejected());
    assert_eq!(session.begin(), Err(Rejection::UnknownKey));
    let mut session = Credential::new(KeyDigest::of("k9"));
    session.update(&keys, true);
    assert_eq!((session.begin(), session.identity()), (Ok(()), None));
    let mut session = Credential::new(KeyDigest::of("k1"));
    session.update(&keys, true);
    assert_eq!(session.begin(), Ok(()));
    assert_eq!(session.identity().unwrap().account, account("ann"));
}

/// Guards against a withdrawn key that starts another operation, a transaction that is never ended, and a key that is
/// in force again because an older revision arrives late.
#[test]
fn a_withdrawn_key_starts_nothing_and_returns_only_with_a_newer_revision() {
    let mut session = session_of_ann();
    session.update(&keys(3, &[("ann", &[]), ("ben", &["k2"])]), false);
    assert!(session.is_rejected());
    assert_eq!(session.transaction_limit(), Some(at(3_000) + TRANSACTION_LIMIT));
    assert_eq!(session.identity().unwrap().account, account("ann"));
    session.update(&keys(2, &[("ann", &["k1"])]), false);
    assert_eq!(session.begin(), Err(Rejection::WithdrawnKey));
    // The limit doesn't move with further revisions.
    session.update(&keys(4, &[]), false);
    assert_eq!(session.transaction_limit(), Some(at(3_000) + TRANSACTION_LIMIT));
    session.update(&keys(5, &[("ann", &["k1"])]), false);
    assert_eq!((session.transaction_limit(), session.begin()), (None, Ok(())));
    assert_eq!(session.identity().unwrap().revision, Revision(5));
}

/// Guards against operations that run for the account that held the key before, and a transaction that goes on for it.
#[test]
fn a_moved_key_is_the_new_accounts_from_the_next_operation() {
    let mut session = session_of_ann();
    session.update(&keys(2, &[("ann", &[]), ("ben", &["k1", "k2"])]), false);
    assert!(!session.is_rejected());
    assert_eq!(session.identity().unwrap().account, account("ann"));
    assert_eq!(session.transaction_limit(), Some(at(2_000) + TRANSACTION_LIMIT));
    assert_eq!(session.begin(), Ok(()));
    assert_eq!(session.identity().unwrap().account, account("ben"));
    assert_eq!(session.transaction_limit(), None);
}

/// Guards against a deployment without accounts whose callers are refused or get an account, and against sessions that all
/// have to reconnect when a deployment introduces or gives up accounts.
#[test]
fn sessions_outlast_the_introduction_and_the_end_of_accounts() {
    let mut session = Credential::new(KeyDigest::of("k1"));
    session.update(&Keys::new(Revision(1), &Fleet::default(), at(0)), false);
    assert_eq!((session.begin(), session.identity()), (Ok(()), None));
    session.update(&keys(2, &[("ann", &["k1"])]), false);
    assert_eq!(
        (session.begin(), session.identity().map(|i| &i.account)),
        (Ok(()), Some(&account("ann")))
    );
    session.update(&Keys::new(Revision(3), &Fleet::default(), at(0)), false);
    assert_eq!(session.transaction_limit(), None);
    assert_eq!((session.begin(), session.identity()), (Ok(()), None));
}

/// Guards against a serving proxy that runs a statement whose key it knows to be withdrawn, and against one that refuses
/// a new key because its own declarations are older.
#[test]
fn a_forwarded_identity_is_judged_by_the_newer_revision() {
    let of_ann = session_of_ann().identity().cloned();
    let forwarded = |keys: &Keys, identity: &Option<Identity>, is_open| {
        keys.check_forwarded(identity.clone(), Revision(1), is_open)
    };
    assert_eq!(forwarded(&keys(1, &[]), &of_ann, false), Ok(of_ann.clone()));
    assert_eq!(forwarded(&Keys::default(), &of_ann, false), Ok(of_ann.clone()));
    let same = forwarded(&keys(2, &[("ann", &["k1"])]), &of_ann, false).unwrap().unwrap();
    assert_eq!((same.account, same.revision), (account("ann"), Revision(2)));
    let moved = forwarded(&keys(2, &[("ben", &["k1"])]), &of_ann, false).unwrap();
    assert_eq!(moved.unwrap().account, account("ben"));
    let withdrawn = keys(2, &[("ann", &[])]);
    assert_eq!(forwarded(&withdrawn, &of_ann, false), Err(Rejection::WithdrawnKey));
    assert_eq!(forwarded(&withdrawn, &of_ann, true), Ok(None));
    assert_eq!(forwarded(&withdrawn, &None, false), Err(Rejection::UnknownKey));
    assert_eq!(
        forwarded(&Keys::new(Revision(2), &Fleet::default(), at(0)), &None, false),
        Ok(None)
    );
}

/// Guards against a key that is not found, or found as another account's, among tens of thousands.
#[test]
fn each_key_finds_its_own_account_among_tens_of_thousands() {
    let names: Vec<String> = (0..20_000).map(|number| format!("a{number}")).collect();
    let mut fleet = Fleet { require_account: true, ..Fleet::default() };
    for name in &names {
        let keys = vec![KeyDigest::of(name), KeyDigest::of(format!("old-{name}"))];
        fleet.account.insert(account(name), cactushatch::config::Account { keys, quota: None });
    }
    let keys = Keys::new(Revision(1), &fleet, at(0));
    for name in &names {
        let mut session = Credential::new(KeyDigest::of(name));
        session.update(&keys, false);
        assert_eq!(session.begin(), Ok(()));
        assert_eq!(session.identity().unwrap().account.as_str(), name);
    }
}
