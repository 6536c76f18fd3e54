//! One caller that runs requests for as long as the load lasts, and roams between proxies.

use std::sync::Arc;
use std::time::Duration;

use cactushatch::pgsql::Error;
use smol::Timer;

use super::Load;
use super::caller::{Caller, Reply, is_fatal};
use crate::history::{Kind, Outcome, Refusal, Request};

/// How long a caller waits before it connects again.
const RECONNECT: Duration = Duration::from_millis(20);

/// How long a prober waits between its writes.
const PROBE: Duration = Duration::from_millis(2);

/// How many requests a session has before its caller starts a new one.
const SESSION_REQUESTS: u64 = 150;

/// How often a `once` request is sent again while its outcome is unknown.
const RESENDS: u32 = 20;

/// How many lists transactions share.
const LISTS: u32 = 40;

/// A caller and its present session.
pub struct Session {
    load: Arc<Load>,
    number: usize,
    /// Whether it only writes, and does so without pause.
    prober: bool,
    group: String,
    name: String,
    /// How many sessions this caller had.
    generation: u64,
    requests: u64,
    proxy: usize,
    caller: Option<Caller>,
    /// The floor to bring to the next proxy.
    floor: Option<String>,
    random: fastrand::Rng,
    done: u64,
}

impl Session {
    pub fn new(load: Arc<Load>, number: usize) -> Self {
        let group = load.groups[number % load.groups.len()].clone();
        let random = fastrand::Rng::with_seed(load.settings.seed.wrapping_add(number as u64));
        let proxy = number / load.groups.len() % load.fleet.proxies.len();
        let prober = load.is_prober(number);
        Self {
            prober,
            name: format!("s{number}.0"),
            load,
            number,
            group,
            generation: 0,
            requests: 0,
            proxy,
            caller: None,
            floor: None,
            random,
            done: 0,
        }
    }

    /// Runs requests until the load ends.
    pub async fn run(mut self) {
        if self.prober {
            self.probe().await;
            return;
        }
        let arrival = self.load.arrival(self.number);
        self.load.sleep_until(arrival).await;
        while !self.load.is_over() {
            let due = self.load.due(self.number, self.done);
            if let Some(due) = due {
                self.load.sleep_until(due).await;
            }
            self.done += 1;
            self.next(due).await;
            if self.load.settings.pause > Duration::ZERO {
                Timer::after(self.load.settings.pause).await;
            }
        }
    }

    /// Writes again and again, to see when writes are possible.
    async fn probe(&mut self) {
        while !self.load.is_over() {
            self.write(None).await;
            Timer::after(PROBE).await;
        }
    }

    async fn next(&mut self, due: Option<u64>) {
        self.requests += 1;
        if self.requests > SESSION_REQUESTS {
            self.renew();
        } else if self.random.u32(..100) < self.load.settings.roam {
            self.roam();
        }
        let share = self.random.u32(..100);
        let reads = self.load.settings.reads;
        if share < reads {
            self.read(due).await;
            return;
        }
        match self.random.u32(..5) {
            0 | 1 => self.write(due).await,
            2 | 3 => self.once(due).await,
            _ => self.transaction(due).await,
        }
    }

    /// Starts a new session.
    fn renew(&mut self) {
        self.generation += 1;
        self.requests = 0;
        self.name = format!("s{}.{}", self.number, self.generation);
        self.caller = None;
        self.floor = None;
    }

    /// Goes on at another proxy, with the floor or without.
    fn roam(&mut self) {
        if let Some(caller) = self.caller.take() {
            self.floor = caller.floor.or(self.floor.take());
        }
        if self.random.bool() {
            self.floor = None;
        }
        self.proxy = (self.proxy + 1) % self.load.fleet.proxies.len();
    }

    async fn connect(&mut self) -> bool {
        while self.caller.is_none() {
            if self.load.is_over() {
                return false;
            }
            let mut options = format!("-c cactushatch.session={}", self.name);
            if let Some(floor) = &self.floor {
                options.push_str(&format!(" -c cactushatch.floor={floor}"));
            }
            let address = self.load.fleet.proxies[self.proxy];
            match Caller::open(address, &self.group, &options).await {
                Ok(mut caller) => {
                    caller.floor = self.floor.clone();
                    self.caller = Some(caller);
                }
                Err(_) => {
                    self.proxy = (self.proxy + 1) % self.load.fleet.proxies.len();
                    Timer::after(RECONNECT).await;
                }
            }
        }
        true
    }

    async fn read(&mut self, due: Option<u64>) {
        let nonce = format!("n{}", self.load.next_id());
        let tail = |table: &str, column: &str, filter: &str| {
            format!(
                "SELECT '{nonce}', {column} FROM {table} WHERE {filter} \
                 UNION ALL SELECT '{nonce}', count(*) FROM {table} WHERE {filter}"
            )
        };
        let share = self.random.u32(..10);
        let aged = self.load.fleet.max_age_request(&self.group).filter(|_| share == 0);
        let (kind, sql) = if share == 1 {
            let list = self.random.u32(..LISTS);
            let column = "tx || '/' || part";
            (
                Kind::List { list, nonce: nonce.clone() },
                tail("item", column, &format!("list = {list}")),
            )
        } else {
            let of = if aged.is_some() { self.other() } else { self.name.clone() };
            let mut sql = tail("entry", "entry", &format!("session = '{of}'"));
            if let Some((request, _)) = &aged {
                sql.push_str(&format!(" /*request='{request}'*/"));
            }
            let max_age = aged.map(|(_, age)| age.as_micros() as u64);
            (Kind::Read { of, max_age, nonce: nonce.clone() }, sql)
        };
        self.single(kind, &sql, due).await;
    }

    /// Names a session of another caller of the same group.
    fn other(&mut self) -> String {
        let groups = self.load.groups.len();
        let peers = self.load.settings.sessions.div_ceil(groups).max(1);
        let number = self.number % groups + groups * self.random.usize(..peers);
        format!("s{number}.{}", self.generation)
    }

    async fn write(&mut self, due: Option<u64>) {
        let entry = format!("e{}", self.load.next_id());
        let sql = format!("INSERT INTO entry (session, entry) VALUES ('{}', '{entry}')", self.name);
        self.single(Kind::Write { entry }, &sql, due).await;
    }

    /// Runs a `once` request, and sends it again through other proxies while its outcome is unknown.
    async fn once(&mut self, due: Option<u64>) {
        let key = format!("k{}-{}", self.load.next_id(), self.load.settings.seed);
        let Some(request) = self.load.fleet.once_request(&self.group) else {
            return;
        };
        let sql = format!(
            "INSERT INTO effect (effect) VALUES ('{key}') /*request='{request}',key='{key}'*/"
        );
        for _ in 0..RESENDS {
            match self.single(Kind::Once { key: key.clone() }, &sql, due).await {
                Some(Outcome::Unknown(_) | Outcome::Cut { .. }) => self.roam(),
                Some(Outcome::NotRun(_)) => {
                    Timer::after(RECONNECT).await;
                }
                _ => return,
            }
        }
    }

    async fn single(&mut self, kind: Kind, sql: &str, due: Option<u64>) -> Option<Outcome> {
        if !self.connect().await {
            return None;
        }
        let invoked = self.load.now();
        let before = self.floor_now();
        let reply = match &mut self.caller {
            Some(caller) => caller.ask(sql).await,
            None => return None,
        };
        let outcome = outcome(reply);
        let mark = self.mark(before, &outcome);
        self.record(kind, invoked, outcome.clone(), due, mark);
        if let Outcome::NotRun(refusal) | Outcome::Unknown(refusal) | Outcome::Failed(refusal) =
            &outcome
            && is_fatal(refusal)
        {
            self.caller = None;
        }
        Some(outcome)
    }

    fn floor_now(&self) -> Option<String> {
        self.caller.as_ref().and_then(|caller| caller.floor.clone())
    }

    /// Returns the mark that an acknowledged write set.
    fn mark(&self, before: Option<String>, outcome: &Outcome) -> Option<(u64, u64)> {
        let floor = self.floor_now();
        if floor == before || !matches!(outcome, Outcome::Done { .. }) {
            return None;
        }
        let floor = floor?;
        let mine = floor.split(',').find_map(|mark| mark.strip_prefix(&format!("{}@", self.group)));
        let (term, position) = mine?.split_once('.')?;
        Some((term.parse().ok()?, position.parse().ok()?))
    }

    async fn transaction(&mut self, due: Option<u64>) {
        if !self.connect().await {
            return;
        }
        let id = self.load.next_id();
        let tx = format!("t{id}");
        let first = self.random.u32(..LISTS);
        let lists = (first, (first + 1 + self.random.u32(..LISTS - 1)) % LISTS);
        let insert = |list, part| {
            format!("INSERT INTO item (list, tx, part) VALUES ({list}, '{tx}', {part})")
        };
        let statements = [
            "BEGIN".to_owned(),
            format!("SELECT tx || '/' || part FROM item WHERE list = {first}"),
            insert(lists.0, 0),
            insert(lists.0, 1),
            insert(lists.1, 2),
            "COMMIT".to_owned(),
        ];
        let invoked = self.load.now();
        let before = self.floor_now();
        let mut read = Vec::new();
        let mut result = Outcome::Done { rows: Vec::new() };
        for (step, sql) in statements.iter().enumerate() {
            let reply = match &mut self.caller {
                Some(caller) => caller.ask(sql).await,
                None => return,
            };
            if let (1, Ok(Reply::Done(rows))) = (step, &reply) {
                read = rows.iter().filter_map(|row| row.first().cloned()).collect();
            }
            result = outcome(reply);
            if !matches!(result, Outcome::Done { .. }) {
                break;
            }
        }
        result = without_rows(result);
        let mark = self.mark(before, &result);
        let refused = !matches!(result, Outcome::Done { .. } | Outcome::Cut { .. });
        self.record(Kind::Transaction { tx, lists, read }, invoked, result, due, mark);
        if refused && let Some(caller) = &mut self.caller {
            let ended = caller.ask("ROLLBACK").await;
            if ended.is_err() {
                self.caller = None;
            }
        }
    }

    fn record(
        &mut self,
        kind: Kind,
        invoked: u64,
        outcome: Outcome,
        due: Option<u64>,
        mark: Option<(u64, u64)>,
    ) {
        let returned = self.load.now();
        if matches!(outcome, Outcome::Cut { .. }) {
            // The floor of a lost connection may miss its last write, so the session goes on without one.
            self.caller = None;
            self.floor = None;
        }
        self.load.record(Request {
            id: self.load.next_id(),
            group: self.group.clone(),
            session: self.name.clone(),
            proxy: self.load.fleet.proxies[self.proxy].to_string(),
            invoked,
            returned,
            due,
            kind,
            outcome,
            mark,
        });
    }
}

fn without_rows(outcome: Outcome) -> Outcome {
    match outcome {
        Outcome::Done { .. } => Outcome::Done { rows: Vec::new() },
        other => other,
    }
}

/// Sorts a reply into the four outcomes, or into none of them.
fn outcome(reply: Result<Reply, Error>) -> Outcome {
    match reply {
        Ok(Reply::Done(rows)) => {
            let pair = |row: Vec<String>| {
                let mut columns = row.into_iter();
                (columns.next().unwrap_or_default(), columns.next().unwrap_or_default())
            };
            Outcome::Done { rows: rows.into_iter().map(pair).collect() }
        }
        Ok(Reply::Refused(refusal)) => refused(refusal),
        Err(error) => Outcome::Cut { error: error.to_string() },
    }
}

fn refused(refusal: Refusal) -> Outcome {
    if refusal.detail.starts_with("outcome=not_run") {
        Outcome::NotRun(refusal)
    } else if refusal.detail.starts_with("outcome=unknown") {
        Outcome::Unknown(refusal)
    } else {
        Outcome::Failed(refusal)
    }
}
