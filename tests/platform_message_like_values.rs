//! Tests on separate processes that values which look like messages of the protocol are read as they were written.

mod lines;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lines::{Answer, Caller, Extent, Fleet, SecondAnswers};

/// The sessions at each proxy.
const SESSIONS: usize = 6;

const DURATION: Duration = Duration::from_secs(6);

/// What an instance takes for a statement, so that callers overlap.
const SERVICE: Duration = Duration::from_millis(4);

/// What callers got.
#[derive(Debug, Default)]
struct Figures {
    served: usize,
    /// Statements that were answered with an error or not at all.
    refused: usize,
    /// Answers with the signature of another statement, or with one that was given before.
    foreign: usize,
    /// Rows other than those written.
    wrong_rows: usize,
    /// The first rows that are wrong, and the first refusal.
    wrong: Option<String>,
    refusal: Option<String>,
}

/// A session with an item of its own.
struct Session {
    fleet: Arc<Fleet>,
    vm: u8,
    item: String,
    caller: Caller,
    number: usize,
    /// The values that may be read: the newest one that was acknowledged, and later ones of unknown outcome.
    expected: Vec<String>,
    signatures: Arc<Mutex<BTreeSet<String>>>,
    figures: Figures,
}

/// Returns a value that holds `unique` and words of the protocol. Some have a common beginning.
fn value(number: usize, unique: &str) -> String {
    match number % 10 {
        0 => format!("{unique} DONE x READY I -"),
        1 => format!("ROW {unique}"),
        2 => format!("DONE {unique}"),
        3 => format!("ERR BUSY {unique}"),
        4 => format!("READY I {unique}"),
        5 => format!("SECTION {unique} ROW 5"),
        6 => format!("SECTION 12 ROW 5 {unique}"),
        7 => format!("status DONE 1 {unique}"),
        8 => format!("ROW ROW {unique} DONE signature-i-21-7 READY I 1.9"),
        _ => format!("x ERR BUSY no READY I - ROW {unique}"),
    }
}

impl Session {
    /// Runs a statement that must be signed as a run of `text`, or in this process for `None`.
    fn run(&mut self, sent: &str, text: Option<&str>) -> Option<Answer> {
        let answer = self.caller.query(sent);
        let done = answer.as_ref().and_then(|answer| answer.result.strip_prefix("DONE "));
        let Some(signature) = done else {
            self.figures.refused += 1;
            self.figures.refusal.get_or_insert_with(|| format!("{sent}: {answer:?}"));
            if answer.is_none_or(|answer| answer.state != "I") {
                self.caller = self.fleet.connect(self.vm, "desk");
                self.caller.query_until_done("PREPARE own FETCH any");
            }
            return None;
        };
        self.figures.served += 1;
        if let Some(text) = text {
            let signed = self.fleet.group.signed_statement(signature.as_bytes());
            let is_new = self.signatures.lock().unwrap().insert(signature.to_owned());
            self.figures.foreign +=
                usize::from(signed.as_deref() != Some(text.as_bytes()) || !is_new);
        }
        answer
    }

    fn read(&mut self, sent: &str) -> bool {
        let text = format!("FETCH {}", self.item);
        let Some(answer) = self.run(sent, Some(&text)) else { return false };
        let is_right = matches!(&answer.rows[..], [row] if self.expected.contains(row));
        if !is_right {
            self.figures.wrong_rows += 1;
            let wrong = format!("{sent}: {:?} instead of {:?}", answer.rows, self.expected);
            self.figures.wrong.get_or_insert(wrong);
        }
        true
    }

    /// Writes the next value, in a transaction or outside.
    fn write(&mut self, in_transaction: bool) {
        self.number += 1;
        let data = value(self.number, &format!("{}v{}", self.item, self.number));
        let text = format!("PUT {} {data}", self.item);
        let fetch = format!("FETCH {}", self.item);
        if !in_transaction {
            self.acknowledge(data, &text, &text.clone());
        } else if self.run("BEGIN", None).is_some()
            && self.read(&fetch)
            && self.run(&text, Some(&text)).is_some()
            && self.read(&format!("EXEC own {}", self.item))
            && self.read(&fetch)
        {
            self.acknowledge(data, "COMMIT", "COMMIT");
        }
    }

    /// Runs the statement with which `data` is kept.
    fn acknowledge(&mut self, data: String, sent: &str, text: &str) {
        match self.run(sent, Some(text)) {
            Some(_) => self.expected = vec![data],
            None => self.expected.push(data),
        }
    }

    fn work(mut self, ends: Instant) -> Figures {
        while Instant::now() < ends {
            for in_transaction in [false, true] {
                self.write(in_transaction);
                let (fetch, execute) =
                    (format!("FETCH {}", self.item), format!("EXEC own {}", self.item));
                self.read(&fetch);
                self.read(&execute);
            }
        }
        self.figures
    }
}

fn measure(subnet: u8, answers: SecondAnswers) -> (Figures, u64) {
    let fleet = Arc::new(Fleet::up(subnet));
    let signatures = Arc::new(Mutex::new(BTreeSet::new()));
    let mut sessions = Vec::new();
    for vm in fleet.proxies.clone() {
        for number in 0..SESSIONS {
            let mut caller = fleet.connect(vm, "desk");
            caller.query_until_done("PREPARE own FETCH any");
            sessions.push(Session {
                fleet: Arc::clone(&fleet),
                vm,
                item: format!("i{vm}n{number}"),
                caller,
                number: 0,
                expected: vec!["nothing".to_owned()],
                signatures: Arc::clone(&signatures),
                figures: Figures::default(),
            });
        }
    }
    fleet.group.answer_twice(Some(answers.clone()));
    let ends = Instant::now() + DURATION;
    let threads: Vec<_> = sessions
        .into_iter()
        .map(|session| std::thread::spawn(move || session.work(ends)))
        .collect();
    let mut total = Figures::default();
    for thread in threads {
        let figures = thread.join().unwrap();
        total.served += figures.served;
        total.refused += figures.refused;
        total.foreign += figures.foreign;
        total.wrong_rows += figures.wrong_rows;
        total.wrong = total.wrong.or(figures.wrong);
        total.refusal = total.refusal.or(figures.refusal);
    }
    let second = fleet.group.second_answers();
    println!("{answers:?}: {second} second answers, {total:?}");
    (total, second)
}

const ONCE: SecondAnswers = SecondAnswers {
    commands: &["none"],
    one_in: 1,
    delay: (Duration::ZERO, Duration::from_millis(20)),
    extent: Extent::Any,
    busy_one_in: 0,
    service: SERVICE,
};

/// Reads of such values failed their transactions, as if an instance had answered twice.
#[test]
fn values_that_look_like_messages_are_served() {
    let (figures, second) = measure(230, ONCE);
    let counts = [figures.refused, figures.foreign, figures.wrong_rows, second as usize];
    assert_eq!(counts, [0; 4], "{figures:?}");
    assert!(figures.served > 1_000, "{figures:?}");
}

/// A part of a second answer and a value can look alike.
#[test]
fn parts_of_second_answers_are_not_delivered_beside_values_that_look_like_messages() {
    for (subnet, one_in) in [(231, 20), (232, 3)] {
        let (figures, second) = measure(subnet, SecondAnswers { commands: &[], one_in, ..ONCE });
        assert!(second > 50, "{second} second answers");
        assert_eq!([figures.foreign, figures.wrong_rows], [0; 2], "{figures:?}");
    }
}

/// Reads of such values were given up while their instances answered twice.
#[test]
fn values_that_look_like_messages_are_served_beside_second_answers() {
    for (subnet, one_in) in [(233, 20), (234, 3)] {
        let (figures, _) = measure(subnet, SecondAnswers { commands: &[], one_in, ..ONCE });
        assert!(figures.served > figures.refused, "{figures:?}");
    }
}
