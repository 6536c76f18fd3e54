//! Cancel requests. Each is forwarded only to the statement that it names.
//!
//! The upper half of the process id that a caller gets identifies the proxy, so that a proxy recognises a cancel
//! request for a connection of another proxy. The secret comes from the random source of the operating system.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use rustix::rand::{GetRandomFlags, getrandom};
use sha2::{Digest, Sha256};

use crate::id;

/// The process id and the secret by which a cancel request names the connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The process id: the proxy in the upper half, the connection in the lower half.
    pub process: i32,
    /// The secret that the request must match.
    pub secret: i32,
}

/// The upstream connection that runs a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The address of the instance.
    pub address: SocketAddr,
    /// The process id and the secret that the instance assigned to the connection.
    pub key: (i32, i32),
}

/// How a cancel request is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is forwarded to this connection.
    Forward(Target),
    /// The request is ignored: no statement runs, or the secret is wrong.
    Ignore,
    /// The process id belongs to another proxy.
    Foreign,
}

/// The callers of a proxy whose statements can be cancelled.
#[derive(Debug)]
pub struct Registry {
    proxy_id: u16,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next_number: u16,
    slots: HashMap<i32, (i32, Arc<Slot>)>,
}

#[derive(Debug, Default)]
struct Slot {
    /// The connection that runs a statement, and whether a cancel request was forwarded to it.
    running: Mutex<Option<(Target, bool)>>,
}

/// The entry of one caller. Dropping it removes it from the registry.
#[derive(Debug)]
pub struct Entry {
    registry: Arc<Registry>,
    token: Token,
    slot: Arc<Slot>,
}

impl Registry {
    /// Creates an empty registry for the proxy `node`.
    pub fn new(node: &id::Node) -> Self {
        let digest = Sha256::digest(node.as_str().as_bytes());
        let proxy_id = u16::from_be_bytes([digest[0] & 0x7f, digest[1]]);
        Self { proxy_id, inner: Mutex::new(Inner::default()) }
    }

    /// Adds an entry with a new token for a caller. Returns `None` if no number is free or no random secret is
    /// available.
    pub fn register(self: &Arc<Self>) -> Option<Entry> {
        let secret = random_secret()?;
        let mut inner = lock(&self.inner);
        let free = (0..=u16::MAX).find_map(|offset| {
            let process = self.process_id(inner.next_number.wrapping_add(offset));
            (!inner.slots.contains_key(&process)).then_some((offset, process))
        });
        let (offset, process) = free?;
        inner.next_number = inner.next_number.wrapping_add(offset).wrapping_add(1);
        let slot = Arc::new(Slot::default());
        inner.slots.insert(process, (secret, Arc::clone(&slot)));
        Some(Entry { registry: Arc::clone(self), token: Token { process, secret }, slot })
    }

    /// Decides how a cancel request is handled. If it is forwarded, the target connection is marked and must not be
    /// reused for another caller.
    pub fn cancel(&self, token: Token) -> Decision {
        if token.process >> 16 != i32::from(self.proxy_id) {
            return Decision::Foreign;
        }
        let inner = lock(&self.inner);
        let Some((secret, slot)) = inner.slots.get(&token.process) else {
            return Decision::Ignore;
        };
        if *secret != token.secret {
            return Decision::Ignore;
        }
        match &mut *lock(&slot.running) {
            Some((target, cancelled)) => {
                *cancelled = true;
                Decision::Forward(*target)
            }
            None => Decision::Ignore,
        }
    }

    fn process_id(&self, number: u16) -> i32 {
        (i32::from(self.proxy_id) << 16) | i32::from(number)
    }
}

impl Entry {
    /// Returns the token of the caller.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Records that a statement of the caller starts on the target connection.
    pub fn start(&self, target: Target) {
        *lock(&self.slot.running) = Some((target, false));
    }

    /// Records that the statement has ended. Returns whether a cancel request was forwarded while the statement ran: it
    /// may still arrive, so the connection must not be reused.
    pub fn finish(&self) -> bool {
        lock(&self.slot.running).take().is_some_and(|(_, cancelled)| cancelled)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        lock(&self.registry.inner).slots.remove(&self.token.process);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while holding this lock")
}

fn random_secret() -> Option<i32> {
    let mut bytes = [0; 4];
    let filled = getrandom(&mut bytes, GetRandomFlags::empty()).ok()?;
    (filled == bytes.len()).then(|| i32::from_be_bytes(bytes))
}
