//! Cancel requests: each reaches only the statement that it names.
//!
//! The process id that a caller gets names the proxy in its upper half, so that a proxy knows a cancel that
//! another one must serve. The secret comes from the system's random source.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use rustix::rand::{GetRandomFlags, getrandom};
use sha2::{Digest, Sha256};

use crate::id;

/// What a caller names its connection by in a cancel request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    /// The process id: the proxy in the upper half, the connection in the lower.
    pub process: i32,
    /// The secret.
    pub secret: i32,
}

/// The upstream connection that runs a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// The instance's address.
    pub address: SocketAddr,
    /// The process id and secret that the instance gave the connection.
    pub key: (i32, i32),
}

/// What a cancel request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Forward it to this connection.
    Forward(Target),
    /// Nothing runs, or the secret is wrong.
    Nothing,
    /// Another proxy gave this process id.
    Foreign,
}

/// The connections of a proxy that can be cancelled.
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
    running: Mutex<Option<(Target, bool)>>,
}

/// One caller's entry; it is removed when dropped.
#[derive(Debug)]
pub struct Entry {
    registry: Arc<Registry>,
    token: Token,
    slot: Arc<Slot>,
}

impl Registry {
    /// Makes the registry of the proxy `node`.
    pub fn new(node: &id::Node) -> Self {
        let digest = Sha256::digest(node.as_str().as_bytes());
        let proxy_id = u16::from_be_bytes([digest[0] & 0x7f, digest[1]]);
        Self { proxy_id, inner: Mutex::new(Inner::default()) }
    }

    /// Gives a new caller its token, or `None` when no number is free.
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

    /// Judges a cancel request. Once it is to be forwarded, the connection that it names serves no other caller.
    pub fn cancel(&self, token: Token) -> Answer {
        if token.process >> 16 != i32::from(self.proxy_id) {
            return Answer::Foreign;
        }
        let inner = lock(&self.inner);
        let Some((secret, slot)) = inner.slots.get(&token.process) else {
            return Answer::Nothing;
        };
        if *secret != token.secret {
            return Answer::Nothing;
        }
        match &mut *lock(&slot.running) {
            Some((target, cancelled)) => {
                *cancelled = true;
                Answer::Forward(*target)
            }
            None => Answer::Nothing,
        }
    }

    fn process_id(&self, number: u16) -> i32 {
        (i32::from(self.proxy_id) << 16) | i32::from(number)
    }
}

impl Entry {
    /// Returns the caller's token.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Notes that a statement of the caller runs there.
    pub fn start(&self, target: Target) {
        *lock(&self.slot.running) = Some((target, false));
    }

    /// Notes that the statement has ended; returns whether a cancel was forwarded meanwhile, so that it may
    /// still arrive and the connection must not be reused.
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
    mutex.lock().expect("nothing panics while it holds the lock")
}

fn random_secret() -> Option<i32> {
    let mut bytes = [0; 4];
    let filled = getrandom(&mut bytes, GetRandomFlags::empty()).ok()?;
    (filled == bytes.len()).then(|| i32::from_be_bytes(bytes))
}
