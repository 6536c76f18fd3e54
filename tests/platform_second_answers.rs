//! Tests on separate processes that callers get only answers of their own while instances answer commands twice.

mod lines;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lines::{Answer, Caller, Extent, Fleet, SecondAnswers};

/// The sessions at each proxy.
const SESSIONS: usize = 6;

const DURATION: Duration = Duration::from_secs(8);

/// How long a second answer and a rollback may take.
const SETTLE: Duration = Duration::from_millis(800);

/// What callers got, and what the group keeps of it.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Figures {
    served: usize,
    /// Statements that were not served, with a promise that nothing is kept, and without.
    refused: usize,
    unknown: usize,
    /// Answers with the signature of another statement, with one that was given before, or with none.
    foreign: usize,
    /// Rows of another statement.
    wrong_rows: usize,
    /// Acknowledged writes that are missing.
    lost: usize,
    /// Writes that took effect twice.
    twice: usize,
    /// Writes that took effect after a promise that nothing is kept, or outside of their transaction.
    kept: usize,
}

impl Figures {
    fn is_right(&self) -> bool {
        [self.foreign, self.wrong_rows, self.lost, self.twice, self.kept] == [0; 5]
    }
}

/// What a caller knows about a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Done,
    Refused,
    Unknown,
}

/// One session, which is opened again when it ends, with items of its own.
struct Session {
    fleet: Arc<Fleet>,
    vm: u8,
    item: String,
    caller: Caller,
    number: usize,
    writes: Vec<(String, Fate)>,
    signatures: Arc<Mutex<BTreeSet<String>>>,
    figures: Figures,
}

impl Session {
    /// Runs a statement that an instance must sign as a run of `text`.
    fn run(&mut self, sent: &str, text: &str) -> Option<Answer> {
        let answer = self.caller.query(sent);
        let Some(answer) = answer else {
            self.caller = self.fleet.connect(self.vm, "desk");
            self.caller.query_until_done("PREPARE own FETCH any");
            return None;
        };
        if let Some(signature) = answer.result.strip_prefix("DONE ") {
            let signed = self.fleet.group.signed_statement(signature);
            let is_new = self.signatures.lock().unwrap().insert(signature.to_owned());
            if signed.as_deref() != Some(text) || !is_new {
                self.figures.foreign += 1;
            }
        }
        Some(answer)
    }

    fn fate(&mut self, answer: Option<&Answer>) -> Fate {
        let result = answer.map_or("", |answer| &answer.result);
        let promises = ["ERR BUSY", "ERR ABORTED", "ERR LAGGING", "ERR READONLY"];
        let fate = match result {
            _ if result.starts_with("DONE ") => Fate::Done,
            _ if promises.iter().any(|promise| result.starts_with(promise)) => Fate::Refused,
            _ => Fate::Unknown,
        };
        match fate {
            Fate::Done => self.figures.served += 1,
            Fate::Refused => self.figures.refused += 1,
            Fate::Unknown => self.figures.unknown += 1,
        }
        fate
    }

    fn next_data(&mut self) -> String {
        self.number += 1;
        format!("{}v{}", self.item, self.number)
    }

    fn write(&mut self) {
        let data = self.next_data();
        let text = format!("PUT {} {data}", self.item);
        let answer = self.run(&text, &text);
        let fate = self.fate(answer.as_ref());
        self.writes.push((data, fate));
    }

    fn read(&mut self, sent: &str) {
        let text = format!("FETCH {}", self.item);
        let answer = self.run(sent, &text);
        if self.fate(answer.as_ref()) == Fate::Done {
            self.check_rows(&answer.expect("an answer").rows);
        }
    }

    /// The newest write that is known to be done must be read, or a later one of unknown outcome.
    fn check_rows(&mut self, rows: &[String]) {
        let may_be_read: Vec<&str> = {
            let newest = self.writes.iter().rposition(|(_, fate)| *fate == Fate::Done);
            let later = self.writes.iter().skip(newest.unwrap_or_default());
            later
                .filter(|(_, fate)| *fate != Fate::Refused)
                .map(|(data, _)| data.as_str())
                .collect()
        };
        let none_done = !self.writes.iter().any(|(_, fate)| *fate == Fate::Done);
        match rows {
            [row] if may_be_read.contains(&row.as_str()) => {}
            [row] if none_done && row == "nothing" => {}
            _ => self.figures.wrong_rows += 1,
        }
    }

    /// Writes and reads in a transaction.
    fn transact(&mut self) {
        let data = self.next_data();
        let begun = self.caller.query("BEGIN");
        if !begun.is_some_and(|answer| answer.result.starts_with("DONE")) {
            self.caller = self.fleet.connect(self.vm, "desk");
            self.caller.query_until_done("PREPARE own FETCH any");
            return;
        }
        let text = format!("PUT {} {data}", self.item);
        let answer = self.run(&text, &text);
        if !answer.as_ref().is_some_and(|answer| answer.result.starts_with("DONE")) {
            self.fate(answer.as_ref());
            // Nothing asked for a commit, so nothing is kept whatever the answer was.
            self.writes.push((data, Fate::Refused));
            self.caller = self.fleet.connect(self.vm, "desk");
            self.caller.query_until_done("PREPARE own FETCH any");
            return;
        }
        self.figures.served += 1;
        let answer = self.run("COMMIT", "COMMIT");
        let fate = self.fate(answer.as_ref());
        self.writes.push((data, fate));
    }

    fn work(mut self, ends: Instant) -> Figures {
        while Instant::now() < ends {
            self.write();
            let fetch = format!("FETCH {}", self.item);
            self.read(&fetch);
            self.transact();
            let fetch = format!("EXEC own {}", self.item);
            self.read(&fetch);
        }
        std::thread::sleep(SETTLE);
        let kept = self.fleet.group.values_of(&self.item);
        for (data, fate) in &self.writes {
            let count = kept.iter().filter(|value| *value == data).count();
            self.figures.lost += usize::from(*fate == Fate::Done && count == 0);
            self.figures.twice += usize::from(count > 1);
            self.figures.kept += usize::from(*fate == Fate::Refused && count > 0);
        }
        self.figures
    }
}

/// Runs sessions at all proxies while instances answer twice, and adds up what they saw.
fn measure(subnet: u8, answers: SecondAnswers) -> Figures {
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
                writes: Vec::new(),
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
        total.unknown += figures.unknown;
        total.foreign += figures.foreign;
        total.wrong_rows += figures.wrong_rows;
        total.lost += figures.lost;
        total.twice += figures.twice;
        total.kept += figures.kept;
    }
    let second = fleet.group.second_answers();
    println!("{answers:?}: {second} second answers, {total:?}");
    assert!(second > 50, "{second} second answers");
    total
}

const WHOLE: SecondAnswers = SecondAnswers {
    commands: &[],
    one_in: 20,
    delay: (Duration::ZERO, Duration::from_millis(500)),
    extent: Extent::Whole,
    busy_one_in: 0,
    service: Duration::from_millis(8),
};

#[test]
fn a_second_answer_is_not_taken_for_that_of_a_later_statement() {
    let figures = measure(181, WHOLE);
    assert!(figures.is_right(), "{figures:?}");
}

#[test]
fn a_second_refusal_is_not_taken_for_that_of_a_later_statement() {
    let delay = (Duration::ZERO, Duration::from_millis(20));
    let figures = measure(182, SecondAnswers { one_in: 7, delay, busy_one_in: 5, ..WHOLE });
    assert!(figures.is_right(), "{figures:?}");
}

#[test]
fn a_part_of_a_second_answer_is_not_delivered_with_a_later_one() {
    let delay = (Duration::ZERO, Duration::from_millis(50));
    let figures = measure(183, SecondAnswers { extent: Extent::Any, delay, ..WHOLE });
    assert!(figures.is_right(), "{figures:?}");
}

/// Copies of a refusal and of the answer that should have told it apart came within one round trip.
#[test]
fn many_second_answers_do_not_make_a_write_run_twice() {
    let delay = (Duration::ZERO, Duration::from_millis(20));
    let figures = measure(184, SecondAnswers { one_in: 2, delay, busy_one_in: 4, ..WHOLE });
    assert!(figures.is_right(), "{figures:?}");
}

/// A part of a refusal was joined to the row of the next answer, which was delivered without rows.
#[test]
fn a_part_of_a_refusal_does_not_take_the_rows_of_a_later_answer() {
    let delay = (Duration::ZERO, Duration::from_millis(20));
    let (extent, busy_one_in) = (Extent::Any, 4);
    let figures = measure(185, SecondAnswers { one_in: 3, delay, busy_one_in, extent, ..WHOLE });
    assert!(figures.is_right(), "{figures:?}");
}
