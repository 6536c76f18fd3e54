//! The database instances of one group, which speak the line protocol, and the service that promotes them.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::content::{self, Content, Line};
use super::ledger::{Ledger, Read};
use super::seconds::{SecondAnswers, Seconds};
use super::service::{Conditions, Delivery, Service};
use super::session::{Session, split_mark};
use super::{COMMIT_TIMEOUT, PROMOTION_DURATION, STEP_DOWN_DURATION, TIMEOUT, http};

pub(super) struct Instance {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) primary: bool,
    pub(super) term: u64,
    /// Committed writes, oldest first: the term, the item and the data.
    pub(super) log: Vec<(u64, Content, Content)>,
    pub(super) running: bool,
    /// Number of crashes. Connections from before a crash end.
    pub(super) crashes: usize,
    /// How often the open connections to the instance went silent. Those from before carry nothing any more.
    pub(super) silences: usize,
    /// Whether the instance can't reach the others: it receives nothing, and follows no new primary.
    pub(super) detached: bool,
    /// The term with which the instance was made to stop receiving writes from the primary, or 0 if it receives them.
    pub(super) held_term: u64,
    pub(super) state: &'static str,
    pub(super) sequence: u64,
    /// When the instance started, in Unix milliseconds.
    pub(super) born: u64,
    /// Whether the instance reads statements without answering them.
    pub(super) unresponsive: bool,
    /// Time until a new connection is answered.
    pub(super) connect_delay: Duration,
    /// Number of connections that the instance accepts.
    pub(super) max_connections: usize,
    /// Number of open connections.
    pub(super) connections: usize,
    /// Number of connections that were refused because there were too many.
    pub(super) refused_connections: usize,
    /// Executed statements, oldest first, with the session values that were set on the connection.
    pub(super) executed: Vec<(Content, BTreeMap<Content, Content>)>,
    /// The account of the connection on which each of these statements arrived.
    pub(super) accounts: Vec<String>,
}

/// A group of instances, and the service that promotes them.
pub struct Group {
    pub(super) instances: Mutex<Vec<Instance>>,
    /// Number of connections that each instance accepts.
    pub(super) max_connections: usize,
    /// Whether a commit is acknowledged only once a replica has received it.
    pub(super) synchronous: bool,
    /// Promotion requests, oldest first: the instance, the holder and the token.
    pub promotions: Mutex<Vec<(String, String, u64)>>,
    /// How much longer than usual a promotion takes after its order was accepted.
    pub(super) promotion_delay: Mutex<Duration>,
    /// The promotions that took effect, oldest first: when, the instance, and the data that it held.
    pub(super) effects: Mutex<Vec<(Instant, String, Vec<String>)>>,
    pub(super) seconds: Mutex<Seconds>,
    /// Number of signatures given. Each run of a statement has its own.
    pub(super) signatures: AtomicU64,
    /// Which statement each signature was given for.
    pub(super) signed: Mutex<BTreeMap<Content, Content>>,
    /// What clients sent and what the instances read.
    pub ledger: Ledger,
    pub(super) service: Service,
}

impl Group {
    pub(super) fn lock(&self) -> MutexGuard<'_, Vec<Instance>> {
        self.instances.lock().unwrap()
    }

    /// Changes how the instances serve.
    pub fn change_conditions(&self, change: impl FnOnce(&mut Conditions)) {
        self.service.change(change);
    }

    /// Makes the instances answer some commands twice, or none.
    pub fn answer_twice(&self, answers: Option<SecondAnswers>) {
        *self.seconds.lock().unwrap() = Seconds { answers, ..Seconds::default() };
    }

    /// Returns the number of second answers since [`Self::answer_twice`].
    pub fn second_answers(&self) -> u64 {
        self.seconds.lock().unwrap().sent
    }

    /// Returns the statement that was run for a signature.
    pub fn signed_statement(&self, signature: &[u8]) -> Option<Content> {
        self.signed.lock().unwrap().get(&Content::from(signature)).cloned()
    }

    /// Makes promotions take effect this much later after their orders were accepted.
    pub fn delay_promotions(&self, delay: Duration) {
        *self.promotion_delay.lock().unwrap() = delay;
    }

    /// Returns the promotions that took effect, oldest first: when, the instance, and the data that it held.
    pub fn effects(&self) -> Vec<(Instant, String, Vec<String>)> {
        self.effects.lock().unwrap().clone()
    }

    /// Sends an answer, and some answers a second time later on.
    fn answer(
        &self,
        socket: &Arc<Mutex<TcpStream>>,
        word: &str,
        answer: &[u8],
    ) -> std::io::Result<()> {
        socket.lock().unwrap().write_all(answer)?;
        let Some((delay, second)) = self.seconds.lock().unwrap().next(word, answer) else {
            return Ok(());
        };
        // The connection may end meanwhile.
        let socket = Arc::downgrade(socket);
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            let socket = socket.upgrade()?;
            socket.lock().unwrap().write_all(&second).ok()
        });
        Ok(())
    }

    /// Stops an instance as a crash does.
    pub fn crash(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        instance.running = false;
        instance.crashes += 1;
        let _ = TcpStream::connect(instance.address);
    }

    /// Makes the open connections to all instances go silent for good. New ones work.
    pub fn silence_connections(&self) {
        self.lock().iter_mut().for_each(|instance| instance.silences += 1);
    }

    /// Starts a crashed instance again with its log; as a replica if another one has been promoted meanwhile.
    pub fn recover(self: &Arc<Self>, id: &str) {
        let start = Instant::now();
        let (index, address) = {
            let instances = self.lock();
            let index = instances.iter().position(|instance| instance.id == id).unwrap();
            (index, instances[index].address)
        };
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(error) => assert!(start.elapsed() < TIMEOUT, "{address}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        };
        {
            let mut instances = self.lock();
            instances[index].running = true;
            instances[index].held_term = 0;
            let term = instances[index].term;
            if instances.iter().any(|other| other.primary && other.term > term) {
                instances[index].primary = false;
            }
            replicate_newest(&mut instances);
        }
        let group = Arc::clone(self);
        std::thread::spawn(move || group.accept_connections(index, listener));
    }

    /// Makes a crashed replica forget all that it held, so that it returns as a new one under its old name.
    pub fn forget(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        instance.log.clear();
        (instance.sequence, instance.born) = (0, instance.born + 1_000);
    }

    /// Cuts an instance off from callers and from the other instances. It stays reachable for the service that promotes.
    pub fn detach(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        (instance.unresponsive, instance.detached) = (true, true);
    }

    /// Makes an instance answer again. It receives what it has missed only after [`Self::attach`].
    pub fn answer_again(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().unresponsive = false;
    }

    /// Ends a cut of an instance entirely.
    pub fn attach(&self, id: &str) {
        let mut instances = self.lock();
        let instance = instances.iter_mut().find(|instance| instance.id == id).unwrap();
        (instance.unresponsive, instance.detached) = (false, false);
        replicate_newest(&mut instances);
    }

    /// Returns whether all instances run and follow one primary without a pause.
    pub fn is_settled(&self) -> bool {
        let instances = self.lock();
        let primary = instances.iter().find(|instance| instance.primary);
        let follows = |i: &Instance, primary: &Instance| {
            i.running
                && !i.detached
                && i.held_term == 0
                && i.term == primary.term
                && i.log.len() == primary.log.len()
        };
        primary.is_some_and(|primary| instances.iter().all(|i| follows(i, primary)))
            && instances.iter().filter(|instance| instance.primary).count() == 1
    }

    /// Makes an instance leave all further statements unanswered.
    pub fn stop_answering(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().unresponsive = true;
    }

    /// Delays the answer to new connections to all instances.
    pub fn set_connect_delay(&self, connect_delay: Duration) {
        self.lock().iter_mut().for_each(|instance| instance.connect_delay = connect_delay);
    }

    pub fn drain(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().state = "draining";
    }

    pub fn primary(&self) -> String {
        let instances = self.lock();
        let primaries = instances.iter().filter(|instance| instance.primary && instance.running);
        primaries.max_by_key(|instance| instance.term).expect("a running primary").id.clone()
    }

    /// Returns the statements that an instance executed, oldest first, with their session values.
    pub fn executed(&self, id: &str) -> Vec<(String, BTreeMap<String, String>)> {
        let instances = self.lock();
        let executed = &instances.iter().find(|instance| instance.id == id).unwrap().executed;
        let to_text = |(text, values): &(Content, BTreeMap<Content, Content>)| {
            let values = values.iter().map(|(name, value)| (name.text(), value.text()));
            (text.text(), values.collect())
        };
        executed.iter().map(to_text).collect()
    }

    /// Returns the statements that all instances executed, each with the account of the connection that it arrived on.
    pub fn executed_for(&self) -> Vec<(String, String)> {
        let instances = self.lock();
        let executed = instances.iter().flat_map(|i| i.accounts.iter().zip(&i.executed));
        executed.map(|(account, (text, _))| (account.clone(), text.text())).collect()
    }

    /// Makes an instance refuse new connections, as one does that still counts those of VMs that lost power.
    pub fn refuse_connections(&self, id: &str) {
        let mut instances = self.lock();
        instances.iter_mut().find(|instance| instance.id == id).unwrap().max_connections = 0;
    }

    /// Returns the number of connections that were opened to the instances so far.
    pub fn opened_connections(&self) -> usize {
        self.ledger.connections()
    }

    /// Returns the number of open connections to an instance.
    pub fn connections(&self, id: &str) -> usize {
        self.lock().iter().find(|instance| instance.id == id).unwrap().connections
    }

    /// Returns the number of connections that instances refused because there were too many.
    pub fn refused_connections(&self) -> usize {
        self.lock().iter().map(|instance| instance.refused_connections).sum()
    }

    /// Returns all data that the primary has committed for an item, oldest first.
    pub fn values_of(&self, item: &str) -> Vec<String> {
        self.contents_of(item.as_bytes()).iter().map(Content::text).collect()
    }

    /// Returns all data that the primary has committed for an item, oldest first, byte for byte.
    pub fn contents_of(&self, item: &[u8]) -> Vec<Content> {
        let primary = self.primary();
        let instances = self.lock();
        let log = &instances.iter().find(|instance| instance.id == primary).unwrap().log;
        let of_item = log.iter().filter(|(_, known, _)| **known == *item);
        of_item.map(|(.., data)| data.clone()).collect()
    }

    /// Commits a write on the primary, as a caller does that isn't connected through a proxy.
    pub fn store(&self, item: &[u8], data: &[u8]) {
        let primary = self.primary();
        let mut instances = self.lock();
        let index = instances.iter().position(|instance| instance.id == primary).unwrap();
        let write = (item.into(), data.into());
        Self::commit(&mut instances, index, &mut Session::default(), vec![write]);
    }
}

pub(super) fn last_position(log: &[(u64, Content, Content)]) -> String {
    log.last().map_or_else(|| "1.0".to_owned(), |(term, ..)| format!("{term}.{}", log.len()))
}

pub(super) fn parse_position(position: &str) -> (u64, usize) {
    let (term, number) = position.split_once('.').expect("a position");
    (term.parse().unwrap(), number.parse().unwrap())
}

/// Copies the log of an instance to every running replica that receives from it.
fn replicate(instances: &mut [Instance], index: usize) {
    let (term, detached) = (instances[index].term, instances[index].detached);
    let log = std::mem::take(&mut instances[index].log);
    let receives = |i: &&mut Instance| {
        i.running && i.held_term == 0 && !i.detached && !detached && !i.primary && i.term <= term
    };
    for instance in instances.iter_mut().filter(receives) {
        instance.term = term;
        let known = instance.log.len();
        match known.checked_sub(1) {
            // One primary appends in each term, so logs that agree at an index agree up to it.
            Some(last) if log.get(last) == instance.log.last() => {
                instance.log.extend_from_slice(&log[known..]);
            }
            _ => instance.log.clone_from(&log),
        }
    }
    instances[index].log = log;
}

/// Copies the log of the newest primary to the replicas that receive from it.
pub(super) fn replicate_newest(instances: &mut [Instance]) {
    let primaries = (0..instances.len()).filter(|i| instances[*i].primary && instances[*i].running);
    if let Some(newest) = primaries.max_by_key(|index| instances[*index].term) {
        replicate(instances, newest);
    }
}

impl Group {
    /// Commits on the primary, and copies the log at once to every running replica that receives writes.
    pub(super) fn commit(
        instances: &mut [Instance],
        index: usize,
        session: &mut Session,
        writes: Vec<(Content, Content)>,
    ) {
        // A replica may commit a transaction that wrote nothing.
        if writes.is_empty() {
            return;
        }
        let term = instances[index].term;
        session.committed = Some(instances[index].log.len() + writes.len());
        instances[index].log.extend(writes.into_iter().map(|(item, data)| (term, item, data)));
        replicate(instances, index);
    }

    /// Waits until a replica has received the first `len` entries of the instance's log. Returns `false` if the instance
    /// has lost its lead or crashed, or the time is up.
    fn wait_for_replica(&self, index: usize, len: usize) -> bool {
        let start = Instant::now();
        let (term, crashes) = {
            let instances = self.lock();
            (instances[index].term, instances[index].crashes)
        };
        while start.elapsed() < COMMIT_TIMEOUT {
            {
                let instances = self.lock();
                let primary = &instances[index];
                if !primary.primary || primary.crashes != crashes || primary.unresponsive {
                    return false;
                }
                let has_received =
                    |i: &Instance| !i.primary && i.term == term && i.log.len() >= len;
                if instances.iter().any(has_received) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        false
    }

    fn serve_connection(self: Arc<Self>, index: usize, socket: TcpStream) -> std::io::Result<()> {
        socket.set_nodelay(true)?;
        let mut lines = BufReader::new(socket.try_clone()?);
        let socket = Arc::new(Mutex::new(socket));
        let connection = self.ledger.next_connection();
        let mut session = Session { connection, ..Session::default() };
        let (crashes, silences) = {
            let instances = self.lock();
            (instances[index].crashes, instances[index].silences)
        };
        let is_silent = || self.lock()[index].silences != silences;
        let instance = self.lock()[index].id.clone();
        while let Some(Line { content: line, is_cut }) = content::read_line(&mut lines)? {
            self.service.wait_while_deaf(&instance);
            if is_cut && self.service.drops_cut_lines() {
                return Ok(());
            }
            if !self.lock()[index].running || self.lock()[index].crashes != crashes {
                return Ok(());
            }
            if is_silent() {
                continue;
            }
            if let Some(rest) = line.strip_prefix(b"CONNECT ") {
                let connect_delay = self.lock()[index].connect_delay;
                std::thread::sleep(connect_delay);
                let rest = Content::from(rest).text();
                let expected = rest.split(' ').nth(2);
                session.account = rest.split(' ').nth(1).unwrap_or_default().to_owned();
                let instances = self.lock();
                if expected.is_some_and(|id| id != instances[index].id) {
                    return socket.lock().unwrap().write_all(b"ERR MISROUTED another one\r\n");
                }
                let ready = format!("READY I {}\r\n", last_position(&instances[index].log));
                drop(instances);
                let ready = self.service.replacement(&instance, b"CONNECT").unwrap_or(ready.into());
                self.answer(&socket, "CONNECT", &ready)?;
                continue;
            }
            let query = line.strip_prefix(b"QUERY ").map(content::split_word);
            let Some((id, Some(statement))) = query else {
                if !is_cut && *line != *b"BYE" {
                    self.ledger.read_unknown(&instance, line);
                }
                return Ok(());
            };
            if self.lock()[index].unresponsive {
                continue;
            }
            self.service.delay();
            let (_, text) = split_mark(statement);
            let word = Content::from(content::split_word(text).0).text();
            let is_data = matches!(word.as_str(), "FETCH" | "PUT" | "EXEC" | "BEGIN" | "COMMIT");
            let arrived = Instant::now();
            let slot = is_data.then(|| self.service.occupy(index));
            let mut read = Read {
                instance: instance.clone(),
                connection: session.connection,
                id: id.into(),
                text: session.resolve(statement),
                transaction: session.number,
                values: session.values.clone(),
                arrived,
                at: Instant::now(),
                rows: Vec::new(),
                result: Err(String::new()),
                is_cut,
            };
            let (rows, result) = if is_data && self.seconds.lock().unwrap().is_next_busy() {
                (vec![], Err("BUSY".to_owned()))
            } else {
                let service = self.seconds.lock().unwrap().service();
                if is_data && !service.is_zero() {
                    std::thread::sleep(service);
                }
                self.execute(index, &mut session, statement)
            };
            (read.rows, read.result) = (rows.clone(), result.clone());
            self.ledger.read(read);
            if session.transaction.is_none() {
                session.number = None;
            } else if word == "BEGIN" && result.is_ok() {
                session.number = Some(self.ledger.next_transaction());
            }
            let committed = session.committed.take().filter(|_| self.synchronous);
            if committed.is_some_and(|len| !self.wait_for_replica(index, len)) {
                return Ok(());
            }
            drop(slot);
            match self.service.next_delivery() {
                Delivery::Sent => {}
                Delivery::Lost => continue,
                Delivery::Closed => return Ok(()),
            }
            let mut answer = Content::default();
            rows.iter().for_each(|row| answer.push(&[b"ROW ", &row[..], b"\r\n"].concat()));
            match result {
                Ok(signature) => answer.push(&[b"DONE ", &signature[..], b"\r\n"].concat()),
                Err(code) => answer.push(format!("ERR {code} no\r\n").as_bytes()),
            }
            let state = if session.transaction.is_some() { "T" } else { "I" };
            let position = last_position(&self.lock()[index].log);
            answer.push(format!("READY {state} {position}\r\n").as_bytes());
            let answer = self.service.replacement(&instance, statement).unwrap_or(answer);
            if !is_silent() {
                self.answer(&socket, &word, &answer)?;
            }
        }
        Ok(())
    }

    pub(super) fn accept_connections(self: Arc<Self>, index: usize, listener: TcpListener) {
        for socket in listener.incoming().flatten() {
            if !self.lock()[index].running {
                return;
            }
            let group = Arc::clone(&self);
            std::thread::spawn(move || {
                {
                    let mut instances = group.lock();
                    if instances[index].connections >= instances[index].max_connections {
                        instances[index].refused_connections += 1;
                        drop(instances);
                        content::read_line(&mut BufReader::new(&socket))?;
                        return (&socket).write_all(b"ERR TOOMANY connections\r\n");
                    }
                    instances[index].connections += 1;
                }
                let served = Arc::clone(&group).serve_connection(index, socket);
                group.lock()[index].connections -= 1;
                served
            });
        }
    }

    /// Answers promotion requests over HTTP and promotes the instances that run. A request that ends early has no effect.
    pub(super) fn serve_promotions(self: Arc<Self>, listener: TcpListener) {
        for mut socket in listener.incoming().flatten() {
            let group = Arc::clone(&self);
            std::thread::spawn(move || {
                let (head, body) = http::read_message(&mut socket)?;
                group.order_promotion(&mut socket, &head, &body);
                Some(())
            });
        }
    }

    fn order_promotion(self: &Arc<Self>, socket: &mut TcpStream, head: &str, body: &[u8]) {
        let field = |name: &str| {
            let line =
                head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")));
            line.and_then(|line| line.split_once(':'))
                .map(|(_, v)| v.trim().to_owned())
                .unwrap_or_default()
        };
        let body: serde_json::Value = serde_json::from_slice(body).unwrap();
        let id = body["Id"].as_str().expect("an id").to_owned();
        let token = field("fence-token").parse().expect("a token");
        let running = {
            let mut promotions = self.promotions.lock().unwrap();
            promotions.push((id.clone(), field("holder"), token));
            self.lock().iter().any(|instance| instance.id == id && instance.running)
        };
        let status = if running { "200 OK" } else { "409 Conflict" };
        let _ = write!(socket, "HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
        if running {
            let group = Arc::clone(self);
            std::thread::spawn(move || group.become_primary(&id));
        }
    }

    /// Makes an instance lead the next term with the log that it has. Nothing changes if it leads the newest term.
    fn become_primary(&self, id: &str) {
        let delay = *self.promotion_delay.lock().unwrap();
        std::thread::sleep(PROMOTION_DURATION + delay);
        {
            let mut instances = self.lock();
            let index = instances.iter().position(|instance| instance.id == id).unwrap();
            let primaries = instances.iter().filter(|i| i.primary && i.running);
            let newest = primaries.max_by_key(|i| i.term).map(|i| i.id.clone());
            if newest.as_deref() == Some(id) || !instances[index].running {
                return;
            }
            let term = 1 + instances.iter().map(|instance| instance.term).max().unwrap();
            instances.iter_mut().for_each(|instance| instance.held_term = 0);
            let held = instances[index].log.iter().map(|(.., data)| data.text()).collect();
            self.effects.lock().unwrap().push((Instant::now(), id.to_owned(), held));
            // The others follow it; those that are ahead are rolled back.
            instances[index].detached = false;
            (instances[index].primary, instances[index].term) = (true, term);
            replicate(&mut instances, index);
        }
        std::thread::sleep(STEP_DOWN_DURATION);
        let mut instances = self.lock();
        let newest = instances.iter().filter(|i| i.primary && i.running).map(|i| i.term).max();
        for instance in instances.iter_mut().filter(|i| i.running && !i.detached) {
            if Some(instance.term) < newest {
                instance.primary = false;
            }
        }
        replicate_newest(&mut instances);
    }
}

pub(super) fn heartbeat(instance: &mut Instance) -> (String, String) {
    instance.sequence += 1;
    let role = if instance.primary { "primary" } else { "replica" };
    let body = format!(
        "{{\"Service\":\"books\",\"Addr\":\"{}\",\"Zone\":\"a\",\"Version\":\"v1\",\"Slots\":2,\
         \"State\":\"{}\",\"ColdLeftMs\":0,\"DbRole\":\"{role}\",\"Seq\":{},\"born\":{}}}",
        instance.address, instance.state, instance.sequence, instance.born
    );
    (instance.id.clone(), body)
}
