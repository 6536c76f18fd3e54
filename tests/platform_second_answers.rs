//! Tests on separate processes that callers get only answers of their own while instances answer commands twice.

mod lines;

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lines::content::{self, Content, join};
use lines::{Caller, Extent, Fleet, Reply, SecondAnswers};

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
    /// Draws what follows the number in written data, unless the data is plain.
    random: Option<fastrand::Rng>,
    writes: Vec<(Content, Fate)>,
    signatures: Arc<Mutex<BTreeSet<Content>>>,
    figures: Figures,
}

impl Session {
    /// Runs a statement that an instance must sign as a run of `text`.
    fn run(&mut self, sent: &[u8], text: &[u8]) -> Option<Reply> {
        let Some(reply) = self.caller.query_bytes(sent) else {
            self.reopen();
            return None;
        };
        if let Some(signature) = reply.signature() {
            let signed = self.fleet.group.signed_statement(signature);
            let is_new = self.signatures.lock().unwrap().insert(signature.into());
            if signed.as_deref() != Some(text) || !is_new {
                self.figures.foreign += 1;
            }
        }
        Some(reply)
    }

    fn reopen(&mut self) {
        self.caller = self.fleet.connect(self.vm, "desk");
        self.caller.query_until_done("PREPARE own FETCH any");
    }

    fn fate(&mut self, reply: Option<&Reply>) -> Fate {
        let promises: [&[u8]; 4] = [b"BUSY", b"ABORTED", b"LAGGING", b"READONLY"];
        let fate = match reply {
            Some(reply) if reply.signature().is_some() => Fate::Done,
            Some(reply) if reply.code().is_some_and(|code| promises.contains(&code)) => {
                Fate::Refused
            }
            Some(_) | None => Fate::Unknown,
        };
        match fate {
            Fate::Done => self.figures.served += 1,
            Fate::Refused => self.figures.refused += 1,
            Fate::Unknown => self.figures.unknown += 1,
        }
        fate
    }

    fn next_data(&mut self) -> Content {
        self.number += 1;
        let data = format!("{}v{}", self.item, self.number);
        let odd = self.random.as_mut().map(content::draw).unwrap_or_default();
        join(&[data.as_bytes(), &odd])
    }

    fn write(&mut self) {
        let data = self.next_data();
        let text = join(&[b"PUT ", self.item.as_bytes(), b" ", &data]);
        let reply = self.run(&text, &text);
        let fate = self.fate(reply.as_ref());
        self.writes.push((data, fate));
    }

    fn read(&mut self, sent: &str) {
        let text = format!("FETCH {}", self.item);
        let reply = self.run(sent.as_bytes(), text.as_bytes());
        if self.fate(reply.as_ref()) == Fate::Done {
            self.check_rows(&reply.expect("an answer").rows);
        }
    }

    /// The newest write that is known to be done must be read, or a later one of unknown outcome.
    fn check_rows(&mut self, rows: &[Content]) {
        let may_be_read: Vec<&Content> = {
            let newest = self.writes.iter().rposition(|(_, fate)| *fate == Fate::Done);
            let later = self.writes.iter().skip(newest.unwrap_or_default());
            later.filter(|(_, fate)| *fate != Fate::Refused).map(|(data, _)| data).collect()
        };
        let none_done = !self.writes.iter().any(|(_, fate)| *fate == Fate::Done);
        match rows {
            [row] if may_be_read.contains(&row) => {}
            [row] if none_done && **row == *b"nothing" => {}
            _ => self.figures.wrong_rows += 1,
        }
    }

    /// Writes and reads in a transaction.
    fn transact(&mut self) {
        let data = self.next_data();
        let begun = self.caller.query_bytes(b"BEGIN");
        if begun.is_none_or(|reply| reply.signature().is_none()) {
            self.reopen();
            return;
        }
        let text = join(&[b"PUT ", self.item.as_bytes(), b" ", &data]);
        let reply = self.run(&text, &text);
        if reply.as_ref().is_none_or(|reply| reply.signature().is_none()) {
            self.fate(reply.as_ref());
            // Nothing asked for a commit, so nothing is kept whatever the answer was.
            self.writes.push((data, Fate::Refused));
            self.reopen();
            return;
        }
        self.figures.served += 1;
        let reply = self.run(b"COMMIT", b"COMMIT");
        let fate = self.fate(reply.as_ref());
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
        let kept = self.fleet.group.contents_of(self.item.as_bytes());
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
    measure_with(subnet, answers, None)
}

/// As [`measure`], with data that is drawn from a seed, if there is one.
fn measure_with(subnet: u8, answers: SecondAnswers, seed: Option<u64>) -> Figures {
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
                random: seed.map(|seed| {
                    fastrand::Rng::with_seed(seed * 1_000 + u64::from(vm) * 10 + number as u64)
                }),
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
    // A thread that still runs would keep the fleet's processes if another one has failed.
    let ended: Vec<_> = threads.into_iter().map(std::thread::JoinHandle::join).collect();
    for figures in ended {
        let figures = figures.unwrap();
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

/// Rows that contain keywords or whole messages were taken for second answers.
#[test]
fn odd_content_is_not_mixed_while_instances_answer_twice() {
    let figures = measure_with(220, WHOLE, Some(1));
    assert!(figures.is_right(), "{figures:?}");
}

#[test]
fn odd_content_is_not_mixed_with_parts_of_second_answers() {
    let delay = (Duration::ZERO, Duration::from_millis(50));
    let answers = SecondAnswers { extent: Extent::Any, delay, ..WHOLE };
    let figures = measure_with(221, answers, Some(2));
    assert!(figures.is_right(), "{figures:?}");
}
