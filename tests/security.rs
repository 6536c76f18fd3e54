//! Who is who: seals and their rotation, SCRAM, tokens, and files that change while a process runs.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use cactushatch::config::{Secret, SecretError};
use cactushatch::id;
use cactushatch::security::{Denied, Exchange, Operators, Users, Verifier, digest, random_hex};
use cactushatch::wire::{Body, Error, Frame, Seal};
use postgres_protocol::authentication::sasl::{ChannelBinding, ScramSha256};
use postgres_protocol::password::scram_sha_256;

struct Files(tempfile::TempDir);

impl Files {
    fn new() -> Self {
        Self(tempfile::tempdir().unwrap())
    }

    /// Writes a secret with a time of change of its own, so that each write is seen as a change.
    fn write(&self, name: &str, content: &str, second: u64) -> Secret {
        let path: PathBuf = self.0.path().join(name);
        std::fs::write(&path, content).unwrap();
        std::fs::set_permissions(&path, Permissions::from_mode(0o600)).unwrap();
        let file = std::fs::File::options().write(true).open(&path).unwrap();
        file.set_modified(SystemTime::UNIX_EPOCH + Duration::from_secs(second)).unwrap();
        Secret::open(path).unwrap()
    }
}

fn frame() -> Frame {
    let sender: id::Node = "proxy-1".parse().unwrap();
    Frame { sender, incarnation: id::Incarnation(7), body: Body::Fetch }
}

const OLD: &str = "1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
const NEW: &str = "2 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";

#[test]
fn a_key_is_replaced_without_a_frame_lost() {
    let files = Files::new();
    let a = Seal::open(&files.write("a", OLD, 1)).unwrap();
    let b = Seal::open(&files.write("b", OLD, 1)).unwrap();
    let both_pass = |step: &str| {
        assert_eq!(b.decode(&a.encode(&frame()).unwrap()).unwrap(), frame(), "{step}");
        assert_eq!(a.decode(&b.encode(&frame()).unwrap()).unwrap(), frame(), "{step}");
    };
    both_pass("one key");
    let steps = [format!("{OLD}{NEW}"), format!("{NEW}{OLD}"), NEW.to_owned()];
    for (at, ring) in steps.iter().enumerate() {
        for (name, seal) in [("a", &a), ("b", &b)] {
            files.write(name, ring, 2 + at as u64);
            seal.refresh();
            both_pass(&format!("step {at}, {name} read its ring"));
        }
    }
    let gone = Seal::open(&files.write("c", OLD, 9)).unwrap();
    let sealed = gone.encode(&frame()).unwrap();
    assert!(matches!(a.decode(&sealed), Err(Error::Seal)), "a key that was taken away opens");
}

#[test]
fn a_frame_that_was_touched_at_any_byte_is_dropped() {
    let files = Files::new();
    let seal = Seal::open(&files.write("keys", OLD, 1)).unwrap();
    let sealed = seal.encode(&frame()).unwrap();
    for at in 0..sealed.len() {
        for flip in [1, 0x80] {
            let mut touched = sealed.clone();
            touched[at] ^= flip;
            assert!(matches!(seal.decode(&touched), Err(Error::Seal)), "byte {at}");
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
fn a_broken_ring_leaves_the_old_one_in_force() {
    let files = Files::new();
    let seal = Seal::open(&files.write("keys", OLD, 1)).unwrap();
    for (at, broken) in ["", "1 00ff\n", "0 aa\n", "nonsense\n", "# nothing\n"].iter().enumerate() {
        files.write("keys", broken, 2 + at as u64);
        seal.refresh();
        assert_eq!(seal.decode(&seal.encode(&frame()).unwrap()).unwrap(), frame(), "{broken:?}");
        let secret = Secret::open(files.0.path().join("keys")).unwrap();
        let error = Seal::open(&secret).unwrap_err().to_string();
        assert!(!error.contains("00ff"), "a key is shown: {error}");
    }
}

/// Runs both sides of an exchange; returns whether the server let the client in.
fn scram(verifier: Verifier, password: &str) -> bool {
    let mut client = ScramSha256::new(password.as_bytes(), ChannelBinding::unsupported());
    let (exchange, answer) = Exchange::start(verifier, client.message()).unwrap();
    client.update(answer.as_bytes()).unwrap();
    match exchange.finish(client.message()) {
        Some(proof) => {
            client.finish(proof.as_bytes()).expect("the server proves that it knows the password");
            true
        }
        None => false,
    }
}

#[test]
fn scram_lets_in_who_knows_the_password_and_nobody_else() {
    let files = Files::new();
    let line = format!("anna {}\n", scram_sha_256(b"pencil"));
    let users = Users::open(&files.write("users", &line, 1)).unwrap();
    assert!(scram(users.verifier("anna"), "pencil"));
    assert!(!scram(users.verifier("anna"), "Pencil"));
    assert!(!scram(users.verifier("nobody"), "pencil"));
    let first = |user: &str| {
        let (_, answer) = Exchange::start(users.verifier(user), b"n,,n=,r=abc").unwrap();
        answer.split(',').nth(1).unwrap().to_owned()
    };
    assert_eq!(first("nobody"), first("nobody"), "an unknown user has a salt that changes");
    files.write("users", &format!("berta {}\n", scram_sha_256(b"ink")), 2);
    users.refresh();
    assert!(scram(users.verifier("berta"), "ink"));
    assert!(!scram(users.verifier("anna"), "pencil"), "a user that was taken away gets in");
}

#[test]
fn malformed_scram_messages_are_refused() {
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
fn an_operator_is_known_by_its_token() {
    let files = Files::new();
    let token = random_hex::<32>();
    let line = format!("anna {}\n", digest(&token));
    let operators = Operators::open(Some(&files.write("operators", &line, 1))).unwrap();
    assert_eq!(operators.identify(Some(&token)).unwrap().unwrap().as_str(), "anna");
    assert_eq!(operators.identify(Some("guess")), Err(Denied));
    assert_eq!(operators.identify(None), Err(Denied));
    assert_eq!(Operators::default().identify(None), Ok(None));
    assert_ne!(random_hex::<32>(), token);
}

#[test]
fn a_secret_whose_mode_is_opened_later_is_not_read_again() {
    let files = Files::new();
    let secret = files.write("keys", OLD, 1);
    let path: &Path = secret.path();
    std::fs::set_permissions(path, Permissions::from_mode(0o644)).unwrap();
    assert!(matches!(secret.read(), Err(SecretError::Mode { mode: 0o644 })));
}
