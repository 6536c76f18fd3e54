//! Sessions of clients that read and write at random, outside of transactions and in them, and record what they send.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use super::content::{self, Content, join, split_word};
use super::ledger::{End, Sent};
use super::session::resolve_exec;
use super::{Caller, Group, Reply};

/// How long a client waits for an answer before it leaves.
const PATIENCE: Duration = Duration::from_secs(2);

const DATABASES: [&str; 3] = ["desk", "menu", "shift"];

/// Number of items to read and write.
const ITEMS: u32 = 20;

/// The length of a long value. An instance that doesn't read takes only a part of it.
const LONG_VALUE: usize = 400_000;

/// How the sessions behave.
#[derive(Debug, Clone, Copy)]
pub struct Habits {
    pub sessions: usize,
    /// The longest pause between two statements, in milliseconds.
    pub max_pause_ms: u64,
    /// The share of transactions that the client leaves, in percent.
    pub leave_percent: u32,
    /// The share of long values, in percent.
    pub long_percent: u32,
    /// The share of fields with content that a receiver may take for something else, in percent.
    pub odd_percent: u32,
}

/// Running sessions.
pub struct Sessions {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Sessions {
    /// Starts sessions that connect to these proxies.
    pub fn start(group: &Arc<Group>, proxies: &[SocketAddr], habits: Habits, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..habits.sessions).map(|number| {
            let mut client = Client {
                group: Arc::clone(group),
                proxies: proxies.to_vec(),
                habits,
                random: fastrand::Rng::with_seed(seed * 1_000 + number as u64),
                stop: Arc::clone(&stop),
                name: format!("s{seed}x{number}"),
                number,
                database: DATABASES[number % DATABASES.len()],
                next_id: 0,
                next_transaction: 0,
                values: BTreeMap::new(),
                prepared: BTreeMap::new(),
            };
            std::thread::spawn(move || client.run())
        });
        let threads = threads.collect();
        Self { stop, threads }
    }

    /// Ends the sessions after their current operation.
    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

struct Client {
    group: Arc<Group>,
    proxies: Vec<SocketAddr>,
    habits: Habits,
    random: fastrand::Rng,
    stop: Arc<AtomicBool>,
    name: String,
    number: usize,
    database: &'static str,
    next_id: u64,
    next_transaction: usize,
    /// The acknowledged values, and the shapes of the acknowledged prepared statements.
    values: BTreeMap<Content, Content>,
    prepared: BTreeMap<Content, Content>,
}

/// The reason why a session is closed.
struct Over;

impl Client {
    fn run(&mut self) {
        while !self.stop.load(Ordering::SeqCst) {
            let proxy = self.proxies[self.random.usize(..self.proxies.len())];
            let connected = Caller::try_connect(proxy, self.database, "me", PATIENCE);
            let Ok(mut caller) = connected else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            (self.values, self.prepared) = (BTreeMap::new(), BTreeMap::new());
            while caller.connect_answer.starts_with("READY") && !self.stop.load(Ordering::SeqCst) {
                if self.operate(&mut caller).is_err() {
                    break;
                }
                self.pause();
            }
        }
    }

    fn pause(&mut self) {
        let pause = self.random.u64(..=self.habits.max_pause_ms);
        std::thread::sleep(Duration::from_millis(pause));
    }

    /// Runs one operation.
    fn operate(&mut self, caller: &mut Caller) -> Result<(), Over> {
        match self.random.u32(..100) {
            0..4 => self.set(caller),
            4..10 => self.prepare(caller),
            10..12 => self.deallocate(caller),
            12..60 => {
                let text = self.statement(true);
                self.query(caller, None, &text).map(drop)
            }
            _ => self.run_transaction(caller),
        }
    }

    /// Returns whether the next field has odd content.
    fn is_next_odd(&mut self) -> bool {
        self.habits.odd_percent > 0 && self.random.u32(..100) < self.habits.odd_percent
    }

    /// Returns a last field: the usual one, or one with odd content in it.
    fn content(&mut self, usual: String) -> Content {
        if !self.is_next_odd() {
            return usual.into();
        }
        let drawn = content::draw(&mut self.random);
        match self.random.u8(..4) {
            0 => drawn,
            1 if !drawn.ends_with(b"\r") => join(&[&drawn, usual.as_bytes()]),
            _ => join(&[usual.as_bytes(), &drawn]),
        }
    }

    /// Returns a field that isn't the last one.
    fn word(&mut self, usual: String) -> Content {
        match self.is_next_odd() {
            true => join(&[usual.as_bytes(), &content::draw_word(&mut self.random)]),
            false => usual.into(),
        }
    }

    fn set(&mut self, caller: &mut Caller) -> Result<(), Over> {
        let (name, value) =
            (format!("v{}", self.random.u8(..2)), format!("{}", self.random.u8(..4)));
        let value = self.content(value);
        let reply = self.query(caller, None, &join(&[b"SET ", name.as_bytes(), b" ", &value]))?;
        self.values.insert(name.into(), value);
        expect_done(&reply)
    }

    fn prepare(&mut self, caller: &mut Caller) -> Result<(), Over> {
        let name = format!("p{}", self.random.u8(..3));
        let verb = if self.random.bool() { "PUT" } else { "FETCH" };
        let shape = format!("shape{}", self.random.u8(..3));
        let shape = join(&[verb.as_bytes(), b" ", &self.content(shape)]);
        let text = join(&[b"PREPARE ", name.as_bytes(), b" ", &shape]);
        let reply = self.query(caller, None, &text)?;
        self.prepared.insert(name.into(), shape);
        expect_done(&reply)
    }

    fn deallocate(&mut self, caller: &mut Caller) -> Result<(), Over> {
        let Some(name) = self.prepared.keys().next().cloned() else { return Ok(()) };
        let reply = self.query(caller, None, &join(&[b"DEALLOC ", &name]))?;
        self.prepared.remove(&name);
        expect_done(&reply)
    }

    /// Returns the text of a read or a write. Each write has its own value.
    fn statement(&mut self, may_write: bool) -> Content {
        let item = format!("item{}", self.random.u32(..ITEMS));
        let value = match self.random.u32(..100) < self.habits.long_percent {
            true => format!("{}-{}.{}", self.name, self.next_id, "x".repeat(LONG_VALUE)),
            false => format!("{}-{}", self.name, self.next_id),
        };
        let usable = |shape: &&Content| may_write || shape.starts_with(b"FETCH");
        let prepared: Vec<Content> = self
            .prepared
            .iter()
            .filter(|(_, shape)| usable(shape))
            .map(|(name, _)| name.clone())
            .collect();
        if !prepared.is_empty() && self.random.u8(..3) == 0 {
            let name = &prepared[self.random.usize(..prepared.len())];
            return match self.prepared[name].starts_with(b"PUT") {
                true => {
                    let (item, value) = (self.word(item), self.content(value));
                    join(&[b"EXEC ", name, b" ", &item, b" ", &value])
                }
                false => join(&[b"EXEC ", name, b" ", &self.content(item)]),
            };
        }
        match may_write && self.random.bool() {
            true => {
                let (item, value) = (self.word(item), self.content(value));
                join(&[b"PUT ", &item, b" ", &value])
            }
            false => join(&[b"FETCH ", &self.content(item)]),
        }
    }

    fn run_transaction(&mut self, caller: &mut Caller) -> Result<(), Over> {
        self.next_transaction += 1;
        let number = Some(self.number * 1_000_000 + self.next_transaction);
        let is_read_only = self.random.u8(..4) == 0;
        let begin = if is_read_only { "BEGIN FETCH" } else { "BEGIN" };
        expect_done(&self.query(caller, number, begin.as_bytes())?)?;
        for _ in 0..self.random.u8(1..5) {
            let text = self.statement(!is_read_only);
            if self.random.u32(..100) < self.habits.leave_percent / 2 {
                let id = self.send(caller, number, &text)?;
                self.pause();
                self.group.ledger.end(id, End::Left);
                return Err(Over);
            }
            if self.random.u8(..12) == 0 {
                self.set(caller)?;
            }
            let answer = self.query(caller, number, &text)?;
            if answer.state != "T" {
                break;
            }
            self.pause();
        }
        if self.random.u32(..100) < self.habits.leave_percent / 2 {
            return Err(Over);
        }
        let end = if self.random.u8(..8) == 0 { "ROLLBACK" } else { "COMMIT" };
        match self.query(caller, number, end.as_bytes())?.state.as_str() {
            "I" => Ok(()),
            _ => Err(Over),
        }
    }

    /// Records a statement and sends it. Returns its id.
    fn send(
        &mut self,
        caller: &mut Caller,
        transaction: Option<usize>,
        text: &[u8],
    ) -> Result<Content, Over> {
        self.next_id += 1;
        let id = self.word(format!("{}-{}", self.name, self.next_id));
        let sent = Sent {
            session: self.number,
            transaction,
            text: self.resolve(text),
            values: self.values.clone(),
            at: Instant::now(),
            end: None,
        };
        self.group.ledger.send(id.clone(), sent);
        match caller.try_send_content(&join(&[b"QUERY ", &id, b" ", text])) {
            Ok(()) => Ok(id),
            Err(_) => {
                self.group.ledger.end(id, End::Left);
                Err(Over)
            }
        }
    }

    /// Sends a statement and receives its answer.
    fn query(
        &mut self,
        caller: &mut Caller,
        transaction: Option<usize>,
        text: &[u8],
    ) -> Result<Reply, Over> {
        let id = self.send(caller, transaction, text)?;
        match caller.receive_reply() {
            Some(reply) => {
                self.group.ledger.end(id, End::Answered(reply.clone()));
                Ok(reply)
            }
            None => {
                self.group.ledger.end(id, End::Left);
                Err(Over)
            }
        }
    }

    fn resolve(&self, text: &[u8]) -> Content {
        let Some(rest) = text.strip_prefix(b"EXEC ") else { return text.into() };
        let (name, arguments) = split_word(rest);
        resolve_exec(&self.prepared[&Content::from(name)], arguments)
    }
}

fn expect_done(reply: &Reply) -> Result<(), Over> {
    reply.signature().map(drop).ok_or(Over)
}
