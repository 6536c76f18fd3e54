//! What clients sent and what instances read, and the comparison of both after a run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use super::Reply;
use super::content::{Content, split_word};

/// The id of statements that proxies send by themselves.
const OWN_ID: &[u8] = b"-";

/// The signature of statements that the proxies may answer by themselves.
const OWN_SIGNATURE: &[u8] = b"-";

/// The answers that promise that nothing of the client's attempt is kept.
const PROMISES: [&[u8]; 6] =
    [b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"MISROUTED", b"TOOMANY"];

/// A statement that a client sent.
#[derive(Debug, Clone)]
pub struct Sent {
    pub session: usize,
    /// The client's transaction.
    pub transaction: Option<usize>,
    /// The text, with the shape in place of the name of a prepared statement.
    pub text: Content,
    /// The session values that were acknowledged.
    pub values: BTreeMap<Content, Content>,
    pub at: Instant,
    pub end: Option<(Instant, End)>,
}

/// How a statement ended for its client.
#[derive(Debug, Clone)]
pub enum End {
    Answered(Reply),
    /// The client left without an answer.
    Left,
}

/// A statement that an instance read.
#[derive(Debug, Clone)]
pub struct Read {
    pub instance: String,
    pub connection: usize,
    pub id: Content,
    pub text: Content,
    /// The instance's transaction in which it ran.
    pub transaction: Option<usize>,
    pub values: BTreeMap<Content, Content>,
    /// When it was read, and when it ran.
    pub arrived: Instant,
    pub at: Instant,
    pub rows: Vec<Content>,
    /// The signature or the code.
    pub result: Result<Content, String>,
    /// Whether the connection ended before the line did.
    pub is_cut: bool,
}

/// What clients sent and what instances read.
#[derive(Debug, Default)]
pub struct Ledger {
    sent: Mutex<BTreeMap<Content, Sent>>,
    read: Mutex<Vec<Read>>,
    /// The messages of a kind that instances don't know, each with the instance.
    unknown: Mutex<Vec<(String, Content)>>,
    transactions: AtomicUsize,
    connections: AtomicUsize,
}

/// Something that an instance or a client saw that no client asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// UNASKED: no client sent a statement with this id.
    UnknownId,
    /// UNASKED: an instance read a message of an unknown kind.
    UnknownKind,
    /// UNASKED: the text isn't the client's.
    ChangedText,
    /// UNASKED: a transaction was committed whose client didn't send this `COMMIT`.
    ForeignCommit,
    /// UNASKED: a `COMMIT` ran outside of a transaction.
    CommitOutside,
    /// PINNED: a statement ran outside of its transaction.
    Outside,
    /// PINNED: a statement ran inside a transaction that isn't its own.
    ForeignTransaction,
    /// PINNED: a transaction was committed without a statement that its client knows to have run.
    PartialCommit,
    /// PINNED: the session values weren't those of the client.
    Values,
    /// TWICE: a write took effect more than once.
    Twice,
    /// REFUSED: a write took effect though its client got a promise.
    Refused,
    /// MIXED: a success without the signature or the rows of a run of the statement, or one with either of them of a
    /// statement that none has to run.
    Mixed,
}

/// What may happen, and how often it did.
#[derive(Debug, Clone, Default)]
pub struct Counts {
    pub sent: usize,
    pub answered: usize,
    pub done: usize,
    pub read: usize,
    /// Statements of which the instance read only a part.
    pub cut: usize,
    /// Reads and writes that ran again under one id, after `BUSY` only or not.
    pub repeated_reads: usize,
    pub repeated_writes: usize,
    pub repeated_after_busy: usize,
    /// Runs after their client was answered, after it had left, and after the time of the statement.
    pub after_answer: Lateness,
    pub after_leave: Lateness,
    pub after_deadline: Lateness,
}

/// How many statements ran too late, and by how much at most.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lateness {
    pub count: usize,
    pub max: Duration,
}

impl Lateness {
    fn add(&mut self, ran: Instant, limit: Instant) {
        if ran > limit {
            self.count += 1;
            self.max = self.max.max(ran - limit);
        }
    }
}

/// The result of a comparison.
#[derive(Debug, Default)]
pub struct Report {
    pub faults: BTreeMap<Fault, Vec<String>>,
    pub counts: Counts,
}

impl Report {
    fn add(&mut self, fault: Fault, example: impl std::fmt::Debug) {
        self.faults.entry(fault).or_default().push(format!("{example:?}"));
    }

    pub fn count(&self, fault: Fault) -> usize {
        self.faults.get(&fault).map_or(0, Vec::len)
    }

    /// Returns the number of each fault.
    pub fn summary(&self) -> BTreeMap<Fault, usize> {
        self.faults.iter().map(|(fault, examples)| (*fault, examples.len())).collect()
    }

    /// Returns some examples of each fault.
    pub fn examples(&self) -> String {
        let listed = self.faults.iter().map(|(fault, examples)| {
            let some: Vec<&str> = examples.iter().take(2).map(|e| &e[..e.len().min(900)]).collect();
            format!("{fault:?}:\n  {}\n", some.join("\n  "))
        });
        listed.collect()
    }
}

impl Ledger {
    pub fn next_transaction(&self) -> usize {
        self.transactions.fetch_add(1, Ordering::SeqCst)
    }

    pub fn next_connection(&self) -> usize {
        self.connections.fetch_add(1, Ordering::SeqCst)
    }

    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Forgets what was sent and read so far.
    pub fn clear(&self) {
        self.sent.lock().unwrap().clear();
        self.read.lock().unwrap().clear();
        self.unknown.lock().unwrap().clear();
    }

    /// Records a statement that a client is about to send.
    pub fn send(&self, id: impl Into<Content>, sent: Sent) {
        let id = id.into();
        let known = self.sent.lock().unwrap().insert(id.clone(), sent);
        assert!(known.is_none(), "two statements have the id {id:?}");
    }

    /// Records how a statement ended for its client.
    pub fn end(&self, id: impl Into<Content>, end: End) {
        let mut sent = self.sent.lock().unwrap();
        sent.get_mut(&id.into()).expect("it was sent").end = Some((Instant::now(), end));
    }

    /// Records a statement that an instance read, unless it is one of the proxies' own.
    pub fn read(&self, read: Read) {
        let (verb, _) = split_word(&read.text);
        let is_data = matches!(verb, b"FETCH" | b"PUT" | b"EXEC" | b"COMMIT");
        if *read.id != *OWN_ID || is_data {
            self.read.lock().unwrap().push(read);
        }
    }

    /// Records a message of an unknown kind that an instance read.
    pub fn read_unknown(&self, instance: &str, line: Content) {
        self.unknown.lock().unwrap().push((instance.to_owned(), line));
    }

    /// Returns the number of statements, and how many of them an instance read longer than `margin` after their client had
    /// left.
    pub fn read_after_leaving(&self, margin: Duration) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let is_late = |read: &&Read| match &sent[&read.id].end {
            Some((at, End::Left)) => read.arrived > *at + margin,
            Some((_, End::Answered(_))) | None => false,
        };
        (sent.len(), self.read.lock().unwrap().iter().filter(is_late).count())
    }

    /// Compares what was sent and what was read. `timeout` is the time that a statement has.
    pub fn compare(&self, timeout: Duration) -> Report {
        let (sent, read) = (self.sent.lock().unwrap(), self.read.lock().unwrap());
        let mut report = Report::default();
        for unknown in self.unknown.lock().unwrap().iter() {
            report.add(Fault::UnknownKind, unknown);
        }
        let mut runs: BTreeMap<&Content, Vec<&Read>> = BTreeMap::new();
        for run in read.iter() {
            let Some(sent) = sent.get(&run.id) else {
                report.add(Fault::UnknownId, run);
                continue;
            };
            runs.entry(&run.id).or_default().push(run);
            report.check_run(sent, run, timeout);
        }
        report.counts.read = read.len();
        report.count_runs(&runs);
        let effects = report.check_commits(&sent, &read);
        report.check_answers(&sent, &runs, &effects);
        report
    }
}

fn is_write(text: &[u8]) -> bool {
    text.starts_with(b"PUT ") || text.starts_with(b"EXEC PUT ")
}

impl Report {
    /// Checks the text, the session values and the time of a run.
    fn check_run(&mut self, sent: &Sent, run: &Read, timeout: Duration) {
        if run.is_cut {
            self.counts.cut += 1;
        }
        if run.text != sent.text {
            self.add(Fault::ChangedText, (shorten(run), sent.text.first(200)));
        }
        if run.result.is_err() {
            return;
        }
        if run.values != sent.values {
            self.add(Fault::Values, (shorten(run), &sent.values));
        }
        match (run.transaction, sent.transaction) {
            (None, Some(_)) if *run.text == *b"COMMIT" => self.add(Fault::CommitOutside, run),
            (None, Some(_)) => self.add(Fault::Outside, shorten(run)),
            (Some(_), None) => self.add(Fault::ForeignTransaction, shorten(run)),
            (None, None) | (Some(_), Some(_)) => {}
        }
        match &sent.end {
            Some((at, End::Answered(_))) => self.counts.after_answer.add(run.at, *at),
            Some((at, End::Left)) => self.counts.after_leave.add(run.at, *at),
            None => {}
        }
        self.counts.after_deadline.add(run.at, sent.at + timeout);
    }

    /// Counts the statements that ran more than once.
    fn count_runs(&mut self, runs: &BTreeMap<&Content, Vec<&Read>>) {
        for repeated in runs.values().filter(|runs| runs.len() > 1) {
            let done = repeated.iter().filter(|run| run.result.is_ok()).count();
            match &repeated[0].text {
                _ if done < 2 => self.counts.repeated_after_busy += 1,
                text if is_write(text) => self.counts.repeated_writes += 1,
                _ => self.counts.repeated_reads += 1,
            }
        }
    }

    /// Checks the transactions that instances committed, and returns how often each write took effect.
    fn check_commits(
        &mut self,
        sent: &BTreeMap<Content, Sent>,
        read: &[Read],
    ) -> BTreeMap<Content, usize> {
        let mut effects: BTreeMap<Content, usize> = BTreeMap::new();
        let mut transactions: BTreeMap<usize, Vec<&Read>> = BTreeMap::new();
        for run in read.iter().filter(|run| run.result.is_ok()) {
            match run.transaction {
                Some(number) => transactions.entry(number).or_default().push(run),
                None if is_write(&run.text) => *effects.entry(run.id.clone()).or_default() += 1,
                None => {}
            }
        }
        let mut done: BTreeMap<usize, Vec<&Content>> = BTreeMap::new();
        for (id, sent) in sent.iter().filter(|(_, sent)| sent.is_done_data()) {
            done.entry(sent.transaction.expect("one of a transaction")).or_default().push(id);
        }
        let client = |run: &Read| sent.get(&run.id).and_then(|sent| sent.transaction);
        for runs in transactions.values() {
            let owners: BTreeSet<Option<usize>> = runs.iter().map(|run| client(run)).collect();
            if owners.len() > 1 {
                let runs: Vec<Read> = runs.iter().map(|run| shorten(run)).collect();
                self.add(Fault::ForeignTransaction, runs);
            }
            let Some(commit) = runs.iter().find(|run| *run.text == *b"COMMIT") else { continue };
            for run in runs.iter().filter(|run| is_write(&run.text)) {
                *effects.entry(run.id.clone()).or_default() += 1;
            }
            let owner = client(commit);
            if runs.iter().any(|run| client(run) != owner) || owner.is_none() {
                self.add(Fault::ForeignCommit, shorten(commit));
            }
            let ran: BTreeSet<&Content> = runs.iter().map(|run| &run.id).collect();
            let known = owner.and_then(|owner| done.get(&owner)).into_iter().flatten();
            let missing: Vec<&&Content> = known.filter(|id| !ran.contains(**id)).collect();
            if !missing.is_empty() {
                self.add(Fault::PartialCommit, (shorten(commit), missing));
            }
        }
        effects
    }

    /// Checks what clients were told.
    fn check_answers(
        &mut self,
        sent: &BTreeMap<Content, Sent>,
        runs: &BTreeMap<&Content, Vec<&Read>>,
        effects: &BTreeMap<Content, usize>,
    ) {
        let refused = sent.values().filter(|sent| sent.is_refused());
        let refused: BTreeSet<usize> = refused.filter_map(|sent| sent.transaction).collect();
        for (id, sent) in sent {
            self.counts.sent += 1;
            let effects = effects.get(id).copied().unwrap_or_default();
            if effects > 1 {
                self.add(Fault::Twice, (id, effects, &runs[id]));
            }
            let is_refused = match sent.transaction {
                Some(transaction) => refused.contains(&transaction),
                None => sent.is_refused(),
            };
            if effects > 0 && is_refused {
                self.add(Fault::Refused, (id, &sent.end));
            }
            let Some((_, End::Answered(answer))) = &sent.end else { continue };
            self.counts.answered += 1;
            let Some(signature) = answer.signature() else { continue };
            self.counts.done += 1;
            let proves =
                |run: &&Read| run.result.as_deref() == Ok(signature) && run.rows == answer.rows;
            let is_right = match sent.is_data() {
                true => runs.get(id).is_some_and(|runs| runs.iter().any(proves)),
                false => signature == OWN_SIGNATURE && answer.rows.is_empty(),
            };
            if !is_right {
                self.add(Fault::Mixed, (id, sent.text.first(80), shorten_reply(answer)));
            }
        }
    }
}

/// Returns a statement with the beginning of its text.
fn shorten(run: &Read) -> Read {
    let rows = run.rows.iter().map(|row| row.first(80)).collect();
    Read { text: run.text.first(80), rows, ..run.clone() }
}

/// Returns an answer with the beginnings of its lines.
fn shorten_reply(reply: &Reply) -> Reply {
    let rows = reply.rows.iter().map(|row| row.first(80)).collect();
    Reply { rows, result: reply.result.first(200), state: reply.state.clone() }
}

impl Sent {
    /// Returns whether an instance has to run the statement.
    fn is_data(&self) -> bool {
        let verbs: [&[u8]; 4] = [b"FETCH ", b"PUT ", b"EXEC ", b"COMMIT"];
        verbs.iter().any(|verb| self.text.starts_with(verb))
    }

    /// Returns whether the statement reads or writes, and its client knows that it ran.
    fn is_done_data(&self) -> bool {
        let is_done =
            matches!(&self.end, Some((_, End::Answered(reply))) if reply.signature().is_some());
        is_done && self.is_data() && self.transaction.is_some()
    }

    fn is_refused(&self) -> bool {
        let Some((_, End::Answered(reply))) = &self.end else { return false };
        reply.code().is_some_and(|code| PROMISES.contains(&code))
    }
}
