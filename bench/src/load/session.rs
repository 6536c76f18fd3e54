//! A caller that runs requests until the load ends, in one session after the other, and moves between proxies.

use std::sync::Arc;
use std::time::Duration;

use cactushatch::pgsql::Error;
use smol::Timer;

use super::Load;
use super::connection::{Connection, Reply, is_fatal};
use crate::history::{ErrorResponse, Kind, Outcome, Request};

/// How long a caller waits after a failed connection attempt, or before it resends a `once` request that was not run.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// How long a prober waits between its writes.
const PROBE_INTERVAL: Duration = Duration::from_millis(2);

/// The number of requests after which a caller starts a new session.
const REQUESTS_PER_SESSION: u64 = 150;

/// How often a `once` request is sent at most while it was not run or its outcome is unknown.
const MAX_ONCE_ATTEMPTS: u32 = 20;

/// The number of lists that the transactions of a group share.
const LIST_COUNT: u32 = 40;

/// A caller and its current session.
pub struct Session {
    load: Arc<Load>,
    number: usize,
    /// Whether the caller only writes, without think time.
    is_prober: bool,
    group: String,
    name: String,
    /// The number of earlier sessions of this caller.
    generation: u64,
    /// The number of requests in the current session.
    session_requests: u64,
    proxy: usize,
    connection: Option<Connection>,
    /// The floor that is presented to the next proxy.
    floor: Option<String>,
    random: fastrand::Rng,
    /// The number of requests that this caller has issued.
    issued: u64,
}

impl Session {
    pub fn new(load: Arc<Load>, number: usize) -> Self {
        let group = load.groups[number % load.groups.len()].clone();
        let random = fastrand::Rng::with_seed(load.settings.seed.wrapping_add(number as u64));
        let proxy = number / load.groups.len() % load.fleet.proxies.len();
        let is_prober = load.is_prober(number);
        Self {
            is_prober,
            name: format!("s{number}.0"),
            load,
            number,
            group,
            generation: 0,
            session_requests: 0,
            proxy,
            connection: None,
            floor: None,
            random,
            issued: 0,
        }
    }

    /// Runs requests until the load ends.
    pub async fn run(mut self) {
        if self.is_prober {
            self.probe().await;
            return;
        }
        let arrival_time = self.load.arrival_time(self.number);
        self.load.sleep_until(arrival_time).await;
        while !self.load.is_over() {
            let due = self.load.due_time(self.number, self.issued);
            if let Some(due) = due {
                self.load.sleep_until(due).await;
            }
            self.issued += 1;
            self.run_next(due).await;
            if self.load.settings.think_time > Duration::ZERO {
                Timer::after(self.load.settings.think_time).await;
            }
        }
    }

    /// Writes at short intervals until the load ends, so that the history shows when writes were possible.
    async fn probe(&mut self) {
        while !self.load.is_over() {
            self.write(None).await;
            Timer::after(PROBE_INTERVAL).await;
        }
    }

    async fn run_next(&mut self, due: Option<u64>) {
        self.session_requests += 1;
        if self.session_requests > REQUESTS_PER_SESSION {
            self.start_new_session();
        } else if self.random.u32(..100) < self.load.settings.roam_percent {
            self.switch_proxy();
        }
        let roll = self.random.u32(..100);
        let read_percent = self.load.settings.read_percent;
        if roll < read_percent {
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
    fn start_new_session(&mut self) {
        self.generation += 1;
        self.session_requests = 0;
        self.name = format!("s{}.{}", self.number, self.generation);
        self.connection = None;
        self.floor = None;
    }

    /// Moves to the next proxy, at random with or without the floor.
    fn switch_proxy(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.floor = connection.floor.or(self.floor.take());
        }
        if self.random.bool() {
            self.floor = None;
        }
        self.proxy = (self.proxy + 1) % self.load.fleet.proxies.len();
    }

    async fn connect(&mut self) -> bool {
        while self.connection.is_none() {
            if self.load.is_over() {
                return false;
            }
            let mut options = format!("-c cactushatch.session={}", self.name);
            if let Some(floor) = &self.floor {
                options.push_str(&format!(" -c cactushatch.floor={floor}"));
            }
            let address = self.load.fleet.proxies[self.proxy];
            match Connection::open(address, &self.group, &options).await {
                Ok(mut connection) => {
                    connection.floor = self.floor.clone();
                    self.connection = Some(connection);
                }
                Err(_) => {
                    self.proxy = (self.proxy + 1) % self.load.fleet.proxies.len();
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
        true
    }

    async fn read(&mut self, due: Option<u64>) {
        let nonce = format!("n{}", self.load.next_id());
        let select_with_count = |table: &str, column: &str, filter: &str| {
            format!(
                "SELECT '{nonce}', {column} FROM {table} WHERE {filter} \
                 UNION ALL SELECT '{nonce}', count(*) FROM {table} WHERE {filter}"
            )
        };
        let roll = self.random.u32(..10);
        let aged = self.load.fleet.max_age_request(&self.group).filter(|_| roll == 0);
        let (kind, sql) = if roll == 1 {
            let list = self.random.u32(..LIST_COUNT);
            let column = "tx || '/' || part";
            (
                Kind::List { list, nonce: nonce.clone() },
                select_with_count("item", column, &format!("list = {list}")),
            )
        } else {
            let of = if aged.is_some() { self.random_peer() } else { self.name.clone() };
            let mut sql = select_with_count("entry", "entry", &format!("session = '{of}'"));
            if let Some((request, _)) = &aged {
                sql.push_str(&format!(" /*request='{request}'*/"));
            }
            let max_age = aged.map(|(_, age)| age.as_micros() as u64);
            (Kind::Read { of, max_age, nonce: nonce.clone() }, sql)
        };
        self.run_single(kind, &sql, due).await;
    }

    /// Returns the name of a random caller's session in the same group.
    fn random_peer(&mut self) -> String {
        let groups = self.load.groups.len();
        let peers = self.load.settings.sessions.div_ceil(groups).max(1);
        let number = self.number % groups + groups * self.random.usize(..peers);
        format!("s{number}.{}", self.generation)
    }

    async fn write(&mut self, due: Option<u64>) {
        let entry = format!("e{}", self.load.next_id());
        let sql = format!("INSERT INTO entry (session, entry) VALUES ('{}', '{entry}')", self.name);
        self.run_single(Kind::Write { entry }, &sql, due).await;
    }

    /// Runs a `once` request; resends it through other proxies while its outcome is unknown.
    async fn once(&mut self, due: Option<u64>) {
        let key = format!("k{}-{}", self.load.next_id(), self.load.settings.seed);
        let Some(request) = self.load.fleet.once_request(&self.group) else {
            return;
        };
        let sql = format!(
            "INSERT INTO effect (effect) VALUES ('{key}') /*request='{request}',key='{key}'*/"
        );
        for _ in 0..MAX_ONCE_ATTEMPTS {
            match self.run_single(Kind::Once { key: key.clone() }, &sql, due).await {
                Some(Outcome::Unknown(_) | Outcome::Cut { .. }) => self.switch_proxy(),
                Some(Outcome::NotRun(_)) => {
                    Timer::after(RETRY_DELAY).await;
                }
                _ => return,
            }
        }
    }

    async fn run_single(&mut self, kind: Kind, sql: &str, due: Option<u64>) -> Option<Outcome> {
        if !self.connect().await {
            return None;
        }
        let invoked = self.load.now();
        let before = self.current_floor();
        let reply = match &mut self.connection {
            Some(connection) => connection.query(sql).await,
            None => return None,
        };
        let outcome = outcome_of(reply);
        let mark = self.acknowledged_mark(before, &outcome);
        self.record(kind, invoked, outcome.clone(), due, mark);
        if let Outcome::NotRun(response) | Outcome::Unknown(response) | Outcome::Failed(response) =
            &outcome
            && is_fatal(response)
        {
            self.connection = None;
        }
        Some(outcome)
    }

    fn current_floor(&self) -> Option<String> {
        self.connection.as_ref().and_then(|connection| connection.floor.clone())
    }

    /// Returns the group's mark after a successful request that changed the floor.
    fn acknowledged_mark(&self, before: Option<String>, outcome: &Outcome) -> Option<(u64, u64)> {
        let floor = self.current_floor();
        if floor == before || !matches!(outcome, Outcome::Done { .. }) {
            return None;
        }
        let floor = floor?;
        let own = floor.split(',').find_map(|mark| mark.strip_prefix(&format!("{}@", self.group)));
        let (term, position) = own?.split_once('.')?;
        Some((term.parse().ok()?, position.parse().ok()?))
    }

    async fn transaction(&mut self, due: Option<u64>) {
        if !self.connect().await {
            return;
        }
        let id = self.load.next_id();
        let tx = format!("t{id}");
        let first = self.random.u32(..LIST_COUNT);
        let lists = (first, (first + 1 + self.random.u32(..LIST_COUNT - 1)) % LIST_COUNT);
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
        let before = self.current_floor();
        let mut read = Vec::new();
        let mut result = Outcome::Done { rows: Vec::new() };
        for (step, sql) in statements.iter().enumerate() {
            let reply = match &mut self.connection {
                Some(connection) => connection.query(sql).await,
                None => return,
            };
            if let (1, Ok(Reply::Done(rows))) = (step, &reply) {
                read = rows.iter().filter_map(|row| row.first().cloned()).collect();
            }
            result = outcome_of(reply);
            if !matches!(result, Outcome::Done { .. }) {
                break;
            }
        }
        result = without_rows(result);
        let mark = self.acknowledged_mark(before, &result);
        let failed = !matches!(result, Outcome::Done { .. } | Outcome::Cut { .. });
        self.record(Kind::Transaction { tx, lists, read }, invoked, result, due, mark);
        if failed && let Some(connection) = &mut self.connection {
            let rollback = connection.query("ROLLBACK").await;
            if rollback.is_err() {
                self.connection = None;
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
            // The floor of a lost connection may not cover the last write, so the session continues without one.
            self.connection = None;
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

/// Returns the outcome of a reply; an error of the connection is a cut.
fn outcome_of(reply: Result<Reply, Error>) -> Outcome {
    match reply {
        Ok(Reply::Done(rows)) => {
            let pair = |row: Vec<String>| {
                let mut columns = row.into_iter();
                (columns.next().unwrap_or_default(), columns.next().unwrap_or_default())
            };
            Outcome::Done { rows: rows.into_iter().map(pair).collect() }
        }
        Ok(Reply::Failed(response)) => outcome_of_error(response),
        Err(error) => Outcome::Cut { error: error.to_string() },
    }
}

fn outcome_of_error(response: ErrorResponse) -> Outcome {
    if response.detail.starts_with("outcome=not_run") {
        Outcome::NotRun(response)
    } else if response.detail.starts_with("outcome=unknown") {
        Outcome::Unknown(response)
    } else {
        Outcome::Failed(response)
    }
}
