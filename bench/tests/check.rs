//! The checker accepts a valid history, rejects histories that break one rule each, and measures write gaps.

use std::collections::BTreeMap;

use bench::check::{Rule, find_violations, gaps};
use bench::history::{
    Database, Databases, ErrorResponse, Event, Item, Kind, Outcome, Record, Request,
};

const GROUP: &str = "ops-1";
const PROXY: &str = "127.0.0.1:1";

/// Builds a history of consecutive requests and events, each 10 ms after the previous one, and the final database.
#[derive(Debug, Default)]
struct History {
    records: Vec<Record>,
    database: Database,
    now: u64,
}

impl History {
    fn push(&mut self, session: &str, kind: Kind, outcome: Outcome) -> &mut Request {
        self.now += 10_000;
        self.records.push(Record::Request(Request {
            id: self.records.len() as u64,
            group: GROUP.to_owned(),
            session: session.to_owned(),
            proxy: PROXY.to_owned(),
            invoked: self.now - 9_000,
            returned: self.now,
            due: None,
            kind,
            outcome,
            mark: None,
        }));
        match self.records.last_mut() {
            Some(Record::Request(request)) => request,
            _ => unreachable!("a request was pushed"),
        }
    }

    fn event(&mut self, what: &str, target: &str, address: &str, group: &str) {
        self.now += 10_000;
        self.records.push(Record::Event(Event {
            at: self.now,
            what: what.to_owned(),
            target: target.to_owned(),
            address: address.to_owned(),
            group: group.to_owned(),
        }));
    }

    fn write(&mut self, session: &str, entry: &str, outcome: Outcome) -> &mut Request {
        self.push(session, Kind::Write { entry: entry.to_owned() }, outcome)
    }

    fn store_entry(&mut self, session: &str, entry: &str) {
        self.database.entries.push((session.to_owned(), entry.to_owned()));
    }

    fn read(&mut self, session: &str, of: &str, max_age: Option<u64>, entries: &[&str]) {
        let kind = Kind::Read { of: of.to_owned(), max_age, nonce: "n1".to_owned() };
        self.push(session, kind, rows("n1", entries, entries.len()));
    }

    fn transaction(&mut self, tx: &str, lists: (u32, u32), read: &[&str]) {
        let read = read.iter().map(|item| (*item).to_owned()).collect();
        self.push("s1", Kind::Transaction { tx: tx.to_owned(), lists, read }, done());
    }

    fn store_item(&mut self, list: u32, tx: &str, part: u32) {
        self.database.items.push(Item { list, tx: tx.to_owned(), part });
    }

    fn broken_rules(&self) -> Vec<Rule> {
        let databases: Databases = BTreeMap::from([(GROUP.to_owned(), self.database.clone())]);
        let violations = find_violations(&self.records, &databases);
        let mut rules: Vec<Rule> = violations.iter().map(|violation| violation.rule).collect();
        rules.dedup();
        rules
    }
}

fn done() -> Outcome {
    Outcome::Done { rows: Vec::new() }
}

fn rows(nonce: &str, values: &[&str], count: usize) -> Outcome {
    let count = count.to_string();
    let all = values.iter().copied().chain([count.as_str()]);
    Outcome::Done { rows: all.map(|value| (nonce.to_owned(), value.to_owned())).collect() }
}

fn error_response() -> ErrorResponse {
    ErrorResponse { code: "57P03".to_owned(), detail: String::new(), message: String::new() }
}

fn cut() -> Outcome {
    Outcome::Cut { error: "unexpected end of file".to_owned() }
}

fn once(key: &str) -> Kind {
    Kind::Once { key: key.to_owned() }
}

#[test]
fn a_valid_history_is_accepted() {
    let mut history = History::default();
    history.write("s1", "e1", done()).mark = Some((1, 5));
    history.store_entry("s1", "e1");
    history.read("s1", "s1", None, &["e1"]);
    history.write("s1", "e2", Outcome::NotRun(error_response()));
    history.write("s1", "e3", Outcome::Unknown(error_response()));
    history.store_entry("s1", "e3");
    history.push("s1", once("k1"), Outcome::Unknown(error_response()));
    history.push("s1", once("k1"), done());
    history.database.keys.push("k1".to_owned());
    history.transaction("t1", (1, 2), &[]);
    history.transaction("t2", (1, 2), &["t1/0", "t1/1"]);
    for (tx, list, part) in
        [("t1", 1, 0), ("t1", 1, 1), ("t1", 2, 2), ("t2", 1, 0), ("t2", 1, 1), ("t2", 2, 2)]
    {
        history.store_item(list, tx, part);
    }
    history.read("s2", "s1", Some(2_000_000), &["e1"]);
    history.event("kill", "proxy-1", PROXY, "");
    history.write("s1", "e4", cut());
    assert_eq!(history.broken_rules(), []);
}

#[test]
fn a_read_that_misses_a_write_of_its_session_is_rejected() {
    let mut history = History::default();
    history.write("s1", "e1", done());
    history.store_entry("s1", "e1");
    history.read("s1", "s1", None, &[]);
    assert_eq!(history.broken_rules(), [Rule::ReadYourWrites]);
}

#[test]
fn a_lost_acknowledged_write_is_rejected() {
    let mut history = History::default();
    history.write("s1", "e1", done());
    assert_eq!(history.broken_rules(), [Rule::Lost]);
}

#[test]
fn a_lost_acknowledged_transaction_is_rejected() {
    let mut history = History::default();
    history.transaction("t1", (1, 2), &[]);
    assert_eq!(history.broken_rules(), [Rule::Lost]);
}

#[test]
fn an_effect_that_is_applied_twice_is_rejected() {
    let mut history = History::default();
    history.push("s1", once("k1"), Outcome::Unknown(error_response()));
    history.push("s1", once("k1"), done());
    history.database.keys = vec!["k1".to_owned(), "k1".to_owned()];
    assert_eq!(history.broken_rules(), [Rule::Doubled]);
}

#[test]
fn a_stored_write_that_was_not_run_is_rejected() {
    let mut history = History::default();
    history.write("s1", "e1", Outcome::NotRun(error_response()));
    history.store_entry("s1", "e1");
    assert_eq!(history.broken_rules(), [Rule::NotRun]);
}

#[test]
fn a_read_of_a_write_that_was_not_run_is_rejected() {
    let mut history = History::default();
    history.write("s1", "e1", Outcome::NotRun(error_response()));
    history.read("s1", "s1", None, &["e1"]);
    assert_eq!(history.broken_rules(), [Rule::NotRun]);
}

#[test]
fn an_acknowledgement_in_a_replaced_epoch_is_rejected() {
    let mut history = History::default();
    history.write("s1", "e1", done()).mark = Some((2, 5));
    history.write("s2", "e2", done()).mark = Some((1, 9));
    history.store_entry("s1", "e1");
    history.store_entry("s2", "e2");
    assert_eq!(history.broken_rules(), [Rule::ReplacedEpoch]);
}

#[test]
fn a_row_of_another_request_is_rejected() {
    let mut history = History::default();
    let kind = Kind::Read { of: "s1".to_owned(), max_age: None, nonce: "n1".to_owned() };
    history.push("s1", kind, rows("n2", &[], 0));
    assert_eq!(history.broken_rules(), [Rule::Answer]);
}

#[test]
fn an_incomplete_answer_is_rejected() {
    for outcome in [done(), rows("n1", &["e1"], 2)] {
        let mut history = History::default();
        let kind = Kind::Read { of: "s2".to_owned(), max_age: None, nonce: "n1".to_owned() };
        history.push("s1", kind, outcome);
        assert_eq!(history.broken_rules(), [Rule::Answer]);
    }
}

#[test]
fn a_read_of_half_a_transaction_is_rejected() {
    let mut history = History::default();
    let kind = Kind::List { list: 1, nonce: "n1".to_owned() };
    history.push("s2", kind, rows("n1", &["t1/0"], 1));
    assert_eq!(history.broken_rules(), [Rule::Mixed]);
}

#[test]
fn a_partially_stored_transaction_is_rejected() {
    let mut history = History::default();
    history.store_item(1, "t1", 0);
    assert_eq!(history.broken_rules(), [Rule::Mixed]);
}

#[test]
fn transactions_that_are_not_serializable_are_rejected() {
    let mut history = History::default();
    history.transaction("t1", (1, 2), &[]);
    history.transaction("t2", (2, 1), &[]);
    // Each transaction misses the item that the other one appended to the list that it read.
    for (tx, list, part) in
        [("t1", 1, 0), ("t1", 1, 1), ("t2", 1, 2), ("t2", 2, 0), ("t2", 2, 1), ("t1", 2, 2)]
    {
        history.store_item(list, tx, part);
    }
    assert!(history.broken_rules().contains(&Rule::Mixed));
}

#[test]
fn data_that_is_too_old_is_rejected() {
    let mut history = History::default();
    history.write("s1", "e1", done());
    history.store_entry("s1", "e1");
    history.now += 3_000_000;
    history.read("s2", "s1", Some(2_000_000), &[]);
    assert_eq!(history.broken_rules(), [Rule::Age]);
}

#[test]
fn a_request_without_an_answer_is_rejected() {
    let mut history = History::default();
    history.write("s1", "e1", cut());
    assert_eq!(history.broken_rules(), [Rule::CutOff]);
}

#[test]
fn a_request_cut_off_after_a_resumed_stop_is_rejected() {
    let mut history = History::default();
    history.event("stop", "proxy-1", PROXY, "");
    history.event("resume", "proxy-1", PROXY, "");
    history.write("s1", "e1", cut());
    assert_eq!(history.broken_rules(), [Rule::CutOff]);
}

#[test]
fn the_gap_is_the_longest_time_without_an_acknowledged_write() {
    let mut history = History::default();
    history.write("s1", "e1", done());
    history.event("kill", "ops-1-1", "", GROUP);
    history.write("s1", "e2", Outcome::NotRun(error_response()));
    history.write("s1", "e3", done());
    history.write("s1", "e4", done());
    let gaps = gaps(&history.records);
    assert_eq!(gaps.len(), 1);
    assert_eq!(gaps[0].milliseconds, Some(30.0));
}

#[test]
fn a_gap_without_an_end_has_no_length() {
    let mut history = History::default();
    history.write("s1", "e1", done());
    history.event("kill", "ops-1-1", "", GROUP);
    assert_eq!(gaps(&history.records)[0].milliseconds, None);
}

#[test]
fn a_gap_whose_last_attempts_fail_has_no_length() {
    let mut history = History::default();
    history.write("s1", "e1", done());
    history.event("kill", "ops-1-1", "", GROUP);
    history.write("s1", "e2", done());
    for number in 0..5 {
        history.write("s1", &format!("f{number}"), Outcome::Unknown(error_response()));
    }
    assert_eq!(gaps(&history.records)[0].milliseconds, None);
}
