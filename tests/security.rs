//! Tests of authentication: seals and key rotation, SCRAM, operator tokens, and the reloading of files.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use cactushatch::config::{Secret, SecretError};
use cactushatch::id;
use cactushatch::security::{
    Exchange, Operators, Unauthorized, Users, Verifier, random_hex, token_digest,
};
use cactushatch::wire::{Body, Error, Frame, Seal};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use postgres_protocol::password::scram_sha_256;

struct SecretFiles(tempfile::TempDir);

impl SecretFiles {
    fn new() -> Self {
        Self(tempfile::tempdir().unwrap())
    }

    /// Writes a secret with a given modification time, so that each write is detected as a change.
    fn write(&self, name: &str, content: &str, modified_seconds: u64) -> Secret {
        let path: PathBuf = self.0.path().join(name);
        std::fs::write(&path, content).unwrap();
        std::fs::set_permissions(&path, Permissions::from_mode(0o600)).unwrap();
        let file = std::fs::File::options().write(true).open(&path).unwrap();
        file.set_modified(SystemTime::UNIX_EPOCH + Duration::from_secs(modified_seconds)).unwrap();
        Secret::open(path).unwrap()
    }
}

fn frame() -> Frame {
    let sender: id::Node = "proxy-1".parse().unwrap();
    Frame {
        sender,
        incarnation: id::Incarnation(7),
        body: Body::Fetch { revision: id::Revision(0) },
    }
}

const OLD_KEY: &str = "1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
const NEW_KEY: &str = "2 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";

#[test]
fn key_is_rotated_without_rejecting_a_frame() {
    let files = SecretFiles::new();
    let a = Seal::open(&files.write("a", OLD_KEY, 1)).unwrap();
    let b = Seal::open(&files.write("b", OLD_KEY, 1)).unwrap();
    let assert_both_accept = |step: &str| {
        assert_eq!(b.decode(&a.encode(&frame()).unwrap()).unwrap(), frame(), "{step}");
        assert_eq!(a.decode(&b.encode(&frame()).unwrap()).unwrap(), frame(), "{step}");
    };
    assert_both_accept("one key");
    let steps = [format!("{OLD_KEY}{NEW_KEY}"), format!("{NEW_KEY}{OLD_KEY}"), NEW_KEY.to_owned()];
    for (step, ring) in steps.iter().enumerate() {
        for (name, seal) in [("a", &a), ("b", &b)] {
            files.write(name, ring, 2 + step as u64);
            seal.refresh();
            assert_both_accept(&format!("step {step}, {name} reloaded its key ring"));
        }
    }
    let removed = Seal::open(&files.write("c", OLD_KEY, 9)).unwrap();
    let sealed = removed.encode(&frame()).unwrap();
    assert!(matches!(a.decode(&sealed), Err(Error::Seal)), "a removed key still verifies");
}

#[test]
fn frame_with_any_byte_altered_is_rejected() {
    let files = SecretFiles::new();
    let seal = Seal::open(&files.write("keys", OLD_KEY, 1)).unwrap();
    let sealed = seal.encode(&frame()).unwrap();
    for at in 0..sealed.len() {
        for flip in [1, 0x80] {
            let mut altered = sealed.clone();
            altered[at] ^= flip;
            assert!(matches!(seal.decode(&altered), Err(Error::Seal)), "byte {at}");
        }
    }
    for len in 0..sealed.len() {
        assert!(matches!(seal.decode(&sealed[..len]), Err(Error::Seal)), "{len} bytes");
    }
    let plain = Seal::default().encode(&frame()).unwrap();
    assert!(matches!(seal.decode(&plain), Err(Error::Seal)), "a frame without a seal");
    assert!(matches!(Seal::default().decode(&sealed), Err(Error::Version { .. })));
}

#[test]
fn invalid_key_ring_leaves_the_old_one_in_use() {
    let files = SecretFiles::new();
    let seal = Seal::open(&files.write("keys", OLD_KEY, 1)).unwrap();
    for (at, invalid) in ["", "1 00ff\n", "0 aa\n", "nonsense\n", "# nothing\n"].iter().enumerate()
    {
        files.write("keys", invalid, 2 + at as u64);
        seal.refresh();
        assert_eq!(seal.decode(&seal.encode(&frame()).unwrap()).unwrap(), frame(), "{invalid:?}");
        let secret = Secret::open(files.0.path().join("keys")).unwrap();
        let error = Seal::open(&secret).unwrap_err().to_string();
        assert!(!error.contains("00ff"), "the error shows a key: {error}");
    }
}

/// Runs both sides of an exchange, and returns whether the server accepted the client.
fn authenticate(verifier: Verifier, password: &str) -> bool {
    let mut client = ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
    let (exchange, answer) = Exchange::start(verifier, client.message()).unwrap();
    client.update(answer.as_bytes()).unwrap();
    match exchange.finish(client.message()) {
        Some(proof) => {
            client
                .finish(proof.as_bytes())
                .expect("the server must prove that it knows the password");
            true
        }
        None => false,
    }
}

#[test]
fn scram_accepts_only_known_users_with_the_right_password() {
    let files = SecretFiles::new();
    let line = format!("anna {}\n", scram_sha_256(b"pencil"));
    let users = Users::open(&files.write("users", &line, 1)).unwrap();
    assert!(authenticate(users.verifier("anna"), "pencil"));
    assert!(!authenticate(users.verifier("anna"), "Pencil"));
    assert!(!authenticate(users.verifier("nobody"), "pencil"));
    let salt = |user: &str| {
        let (_, answer) = Exchange::start(users.verifier(user), b"n,,n=,r=abc").unwrap();
        answer.split(',').nth(1).unwrap().to_owned()
    };
    assert_eq!(salt("nobody"), salt("nobody"), "the salt of an unknown user must not change");
    files.write("users", &format!("berta {}\n", scram_sha_256(b"ink")), 2);
    users.refresh();
    assert!(authenticate(users.verifier("berta"), "ink"));
    assert!(!authenticate(users.verifier("anna"), "pencil"), "a removed user is still accepted");
}

#[test]
fn malformed_scram_messages_are_rejected() {
    let verifier = Verifier::parse(&scram_sha_256(b"pencil")).unwrap();
    for first in [&b""[..], b"n,,", b"n,,n=a", b"n,,n=a,r=", b"p=tls-unique,,n=a,r=x", b"\xff\xfe"]
    {
        assert!(Exchange::start(verifier.clone(), first).is_none(), "{first:?}");
    }
    let last = [&b""[..], b"c=biws", b"c=biws,r=other,p=AAAA", b"c=eSws,r=x,p=AAAA", b"\xff"];
    for last in last {
        let (exchange, _) = Exchange::start(verifier.clone(), b"n,,n=a,r=x").unwrap();
        assert!(exchange.finish(last).is_none(), "{last:?}");
    }
    for text in ["", "md5abc", "SCRAM-SHA-256$4096:c2FsdA==$AA==:AA==", "SCRAM-SHA-256$0:c2FsdA==$"]
    {
        assert!(Verifier::parse(text).is_none(), "{text}");
    }
}

#[test]
fn operator_is_identified_by_its_token() {
    let files = SecretFiles::new();
    let token = random_hex::<32>();
    let line = format!("anna {}\n", token_digest(&token));
    let operators = Operators::open(Some(&files.write("operators", &line, 1))).unwrap();
    assert_eq!(operators.identify(Some(&token)).unwrap().unwrap().as_str(), "anna");
    assert_eq!(operators.identify(Some("guess")), Err(Unauthorized));
    assert_eq!(operators.identify(None), Err(Unauthorized));
    assert_eq!(Operators::default().identify(None), Ok(None));
    assert_ne!(random_hex::<32>(), token);
}

#[test]
fn secret_whose_mode_becomes_too_open_is_not_read() {
    let files = SecretFiles::new();
    let secret = files.write("keys", OLD_KEY, 1);
    let path: &Path = secret.path();
    std::fs::set_permissions(path, Permissions::from_mode(0o644)).unwrap();
    assert!(matches!(secret.read(), Err(SecretError::Mode { mode: 0o644 })));
}
