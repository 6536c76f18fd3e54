//! The tokens of accounts that a proxy holds. Each operation of an account with a quota takes one before it uses a
//! connection, a queue or a forwarding hop.
//!
//! A state machine without I/O. It handles accounts that send several times their rate, idle sessions on many proxies,
//! and loss of contact with control. Totals that only grow within a generation make lost, repeated and reordered
//! messages harmless. The tokens requested follow an exponentially weighted count of recent operations. Memory: one
//! entry for each account that had a session here, and the waiting operations. See `docs/design/quotas.md`.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound;
use std::time::Duration;

use smallvec::SmallVec;

use super::dispatch::Ticket;
use crate::clock::Instant;
use crate::config::{Account, Quota};
use crate::control::quota::{MAX_REPORTS, VALIDITY};
use crate::id;
use crate::wire::quota::{Allowance, Report};

/// The longest wait for a token: the heartbeat that asks for it may be lost once.
pub const MAX_WAIT: Duration = Duration::from_millis(250);

/// The least interval between heartbeats that are sent for tokens.
pub const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The time constant of the count of recent operations, which is what a proxy asks for: some three heartbeats, so that
/// the loss of one or two leaves tokens.
const USE_PERIOD: Duration = Duration::from_millis(500);

/// How long after the last grant's heartbeat a caller without a token still waits for the next grant. The leader answers a
/// heartbeat within 150 ms unless it or the way to it is lost.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(500);

/// The part of the recent use that a proxy asks for while tokens are scarce: that of one heartbeat and its answer. With
/// all of it, 2,068 instead of 1,165 of some 5,300 operations were refused within 5 s of an election with a quarter of
/// the proxies cut off, those of the cut ones included.
const SCARCE_USE_PART: f64 = 0.4;

/// How long tokens that are not used are kept.
const IDLE_PERIOD: Duration = Duration::from_secs(1);

/// How long a proxy keeps no token in reserve after the leader had few left. With a second, and only after the leader had
/// none, the reserves of 77 proxies took the tokens of small accounts again at once, and 16 % of their operations were
/// refused.
const SCARCE_PERIOD: Duration = Duration::from_secs(10);

/// A proxy returns tokens while it is in use if it holds more than this many times what it needs, plus
/// [`SURPLUS_MARGIN`], as after a burst.
const SURPLUS_FACTOR: u64 = 2;

/// The number of tokens that are not worth a report.
const SURPLUS_MARGIN: u64 = 4;

/// When callers may retry after contact with control was lost: about the time of an election.
const NO_CONTACT_RETRY: Duration = Duration::from_millis(500);

/// The tokens that this proxy holds.
#[derive(Debug, Default)]
pub struct Tokens {
    accounts: BTreeMap<id::Account, Bucket>,
    /// The term of the newest grant. Grants of earlier terms are ignored.
    term: id::Term,
    /// When the newest heartbeat that was granted was sent, from which the validity counts.
    renewed_at: Instant,
    /// The newest heartbeat that was granted in this term.
    answered: id::Sequence,
    sent_at: Instant,
    /// Where the next list of reports continues.
    last_reported: Option<id::Account>,
}

/// The tokens of one account.
#[derive(Debug, Default)]
struct Bucket {
    generation: u32,
    /// The generation with which all earlier tokens were discarded.
    discarded: u32,
    spent: u64,
    limit: u64,
    /// The term of the grant that `limit` is from.
    limit_term: id::Term,
    /// The number of tokens of operations whose outcome is not known yet. They count as held, not as spent.
    reserved: u64,
    sessions: u32,
    waiting: VecDeque<Ticket>,
    used: f64,
    used_at: Instant,
    /// Until when no token is kept in reserve.
    scarce_until: Instant,
    /// Until when operations without a token are refused at once.
    refuse_until: Instant,
    answered: id::Sequence,
    /// The last report and the heartbeat that first carried it.
    reported: Option<(id::Sequence, Report)>,
}

/// A token that an operation holds until its outcome is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    generation: u32,
}

/// The decision on an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The operation may run.
    Run(Token),
    /// The operation waits for the next grant, for at most [`MAX_WAIT`].
    Wait,
    /// The operation is refused. There will be tokens after this time.
    Refuse(Duration),
}

/// The effect of a grant.
#[derive(Debug, Default)]
pub struct Granted {
    /// The decisions on waiting operations.
    pub decisions: SmallVec<[(Ticket, Decision); 4]>,
    /// Whether a heartbeat should be sent at once.
    pub is_urgent: bool,
}

impl Bucket {
    fn free(&self) -> u64 {
        self.limit.saturating_sub(self.spent + self.reserved)
    }

    fn recent_use(&self, now: Instant) -> f64 {
        self.used * (-now.since(self.used_at).as_secs_f64() / USE_PERIOD.as_secs_f64()).exp()
    }

    fn record_use(&mut self, now: Instant) {
        self.used = self.recent_use(now) + 1.0;
        self.used_at = now;
    }

    fn take(&mut self) -> Option<Token> {
        (self.free() > 0).then(|| {
            self.reserved += 1;
            Token { generation: self.generation }
        })
    }

    /// Returns the number of tokens that the proxy wants to have free.
    fn needed(&self, now: Instant) -> u64 {
        let waiting = self.waiting.len() as u64;
        if now < self.scarce_until {
            return (self.recent_use(now) * SCARCE_USE_PART).round() as u64 + waiting;
        }
        self.recent_use(now).round() as u64 + u64::from(self.sessions > 0) + waiting
    }

    /// Discards all tokens. The operations that hold one count as spent.
    fn discard(&mut self) {
        if self.limit == self.spent {
            return;
        }
        self.spent += self.reserved;
        self.reserved = 0;
        self.limit = self.spent;
        self.generation += 1;
        self.discarded = self.generation;
    }

    /// Returns tokens that are not needed, by a new generation with a lower limit.
    fn return_idle(&mut self, now: Instant) {
        let (free, needed) = (self.free(), self.needed(now));
        let is_idle = now.since(self.used_at) >= IDLE_PERIOD || now < self.scarce_until;
        let kept = if is_idle { needed } else { SURPLUS_FACTOR * needed + SURPLUS_MARGIN };
        if free > kept {
            self.limit = self.spent + self.reserved + needed;
            self.generation += 1;
        }
    }

    fn serve(&mut self, decisions: &mut SmallVec<[(Ticket, Decision); 4]>) {
        while let Some(ticket) = self.waiting.front().copied() {
            let Some(token) = self.take() else {
                return;
            };
            self.waiting.pop_front();
            decisions.push((ticket, Decision::Run(token)));
        }
    }
}

impl Tokens {
    /// Returns the term of the newest grant.
    pub fn term(&self) -> id::Term {
        self.term
    }

    /// Records that a session of an account was opened.
    pub fn open_session(&mut self, account: &id::Account) {
        self.accounts.entry(account.clone()).or_default().sessions += 1;
    }

    /// Records that a session of an account was closed.
    pub fn close_session(&mut self, account: &id::Account) {
        if let Some(bucket) = self.accounts.get_mut(account) {
            bucket.sessions = bucket.sessions.saturating_sub(1);
        }
    }

    /// Discards the tokens of accounts whose quota was lowered or removed. The leader cuts their levels too.
    pub fn configure(
        &mut self,
        old: &BTreeMap<id::Account, Account>,
        new: &BTreeMap<id::Account, Account>,
    ) {
        let quota = |accounts: &BTreeMap<id::Account, Account>, name: &id::Account| {
            accounts.get(name).and_then(|account| account.quota)
        };
        let is_lower = |new: Quota, old: Quota| new.rate < old.rate || new.burst < old.burst;
        for (name, bucket) in &mut self.accounts {
            match (quota(old, name), quota(new, name)) {
                (Some(old), Some(new)) if !is_lower(new, old) => {}
                _ => bucket.discard(),
            }
        }
    }

    /// Starts an operation of an account. A waiting one has the given ticket until [`Self::cancel`].
    pub fn start(&mut self, now: Instant, account: &id::Account, ticket: Ticket) -> Decision {
        self.expire(now);
        let has_contact = now.since(self.renewed_at) < CONTACT_TIMEOUT;
        let bucket = self.accounts.entry(account.clone()).or_default();
        bucket.record_use(now);
        match bucket.take() {
            Some(token) => Decision::Run(token),
            None if !has_contact => Decision::Refuse(NO_CONTACT_RETRY),
            None if now < bucket.refuse_until => Decision::Refuse(bucket.refuse_until.since(now)),
            None => {
                bucket.waiting.push_back(ticket);
                Decision::Wait
            }
        }
    }

    /// Returns the number of tokens that operations of an account hold, the number of operations that wait for one, and the
    /// time since the last grant.
    pub fn usage(&self, now: Instant, account: &id::Account) -> (u64, usize, Duration) {
        let bucket = self.accounts.get(account);
        let (reserved, waiting) =
            bucket.map_or((0, 0), |bucket| (bucket.reserved, bucket.waiting.len()));
        (reserved, waiting, now.since(self.renewed_at))
    }

    /// Removes a waiting operation.
    pub fn cancel(&mut self, account: &id::Account, ticket: Ticket) {
        if let Some(bucket) = self.accounts.get_mut(account) {
            bucket.waiting.retain(|waiting| *waiting != ticket);
        }
    }

    /// Ends an operation. `may_have_run` is whether an instance may have run it; if not, the token is free again.
    /// Returns the decisions on waiting operations.
    pub fn finish(
        &mut self,
        account: &id::Account,
        token: Token,
        may_have_run: bool,
    ) -> SmallVec<[(Ticket, Decision); 4]> {
        let mut decisions = SmallVec::new();
        let Some(bucket) = self.accounts.get_mut(account) else {
            return decisions;
        };
        if token.generation < bucket.discarded {
            return decisions;
        }
        bucket.reserved -= 1;
        if may_have_run {
            bucket.spent += 1;
        } else {
            bucket.serve(&mut decisions);
        }
        decisions
    }

    /// Returns whether a heartbeat may be sent for tokens, and records that it is.
    pub fn may_request(&mut self, now: Instant) -> bool {
        let may = now.since(self.sent_at) >= REQUEST_INTERVAL;
        if may {
            self.sent_at = now;
        }
        may
    }

    /// Returns the reports for the heartbeat with this number: of the accounts whose tokens changed since the leader
    /// last heard of them, or that need more. At most [`MAX_REPORTS`], the others are in the following heartbeats.
    pub fn reports(&mut self, now: Instant, sequence: id::Sequence) -> Vec<Report> {
        self.sent_at = now;
        self.expire(now);
        let is_answered = self.answered;
        let mut reports = Vec::new();
        let start = match self.last_reported.take() {
            Some(last) => Bound::Excluded(last),
            None => Bound::Unbounded,
        };
        let end = match &start {
            Bound::Excluded(last) => Bound::Included(last.clone()),
            _ => Bound::Unbounded,
        };
        let is_continued = matches!(start, Bound::Excluded(_));
        for (name, bucket) in self.accounts.range_mut((start, Bound::Unbounded)) {
            bucket.report(now, (name, sequence, is_answered), &mut reports);
        }
        if is_continued {
            for (name, bucket) in self.accounts.range_mut((Bound::Unbounded, end)) {
                bucket.report(now, (name, sequence, is_answered), &mut reports);
            }
        }
        if reports.len() == MAX_REPORTS {
            self.last_reported = reports.last().map(|report| report.account.clone());
        }
        reports
    }

    /// Applies the allowances of a grant of `term`. `heartbeat` is the one that it answers and when that was sent; a
    /// grant without one only announces its term.
    pub fn apply(
        &mut self,
        now: Instant,
        term: id::Term,
        heartbeat: Option<(id::Sequence, Instant)>,
        allowances: Vec<Allowance>,
    ) -> Granted {
        let mut granted = Granted::default();
        self.expire(now);
        if term < self.term {
            return granted;
        }
        if term > self.term {
            self.term = term;
            self.answered = id::Sequence::default();
            for bucket in self.accounts.values_mut() {
                bucket.reported = None;
                bucket.answered = id::Sequence::default();
                granted.is_urgent |= !bucket.waiting.is_empty();
            }
        }
        let valid = heartbeat.filter(|(_, sent_at)| now.since(*sent_at) < VALIDITY);
        let Some((sequence, sent_at)) = valid else {
            return granted;
        };
        self.renewed_at = self.renewed_at.max(sent_at);
        self.answered = self.answered.max(sequence);
        for allowance in allowances {
            if let Some(bucket) = self.accounts.get_mut(&allowance.account) {
                bucket.apply(now, (term, sequence), &allowance, &mut granted);
            }
        }
        granted
    }

    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.renewed_at) < VALIDITY
    }

    /// Discards all tokens if they are not valid any more.
    fn expire(&mut self, now: Instant) {
        if !self.is_valid(now) {
            self.accounts.values_mut().for_each(Bucket::discard);
        }
    }
}

impl Bucket {
    /// Adds a report to the list if the leader needs one.
    fn report(
        &mut self,
        now: Instant,
        (name, sequence, answered): (&id::Account, id::Sequence, id::Sequence),
        reports: &mut Vec<Report>,
    ) {
        if self.sessions == 0
            && self.limit == self.spent
            && self.reported.is_none()
            && self.used == 0.0
        {
            return;
        }
        self.return_idle(now);
        let wanted = self.reserved + self.needed(now);
        let report = Report {
            account: name.clone(),
            generation: self.generation,
            spent: self.spent,
            limit: self.limit,
            wanted: u32::try_from(wanted).unwrap_or(u32::MAX),
        };
        let is_missing = self.limit < self.spent + wanted;
        let known = self.reported.as_ref().filter(|(_, known)| {
            (known.generation, known.spent) == (report.generation, report.spent)
                && (report.wanted >= known.wanted
                    || known.spent + u64::from(known.wanted) <= known.limit)
        });
        let is_held = self.limit > self.spent;
        let is_new = known.is_none() && (self.reported.is_some() || is_held);
        let is_known = known.is_some_and(|(at, _)| *at <= answered);
        if is_missing || is_new || (known.is_some() && !is_known) {
            if reports.len() >= MAX_REPORTS {
                // The number of the first heartbeat only counts while all later ones carry the report too.
                self.reported =
                    self.reported.take().map(|(_, known)| (id::Sequence(u64::MAX), known));
                return;
            }
            let first = known.map_or(sequence, |(at, _)| (*at).min(sequence));
            self.reported = Some((first, report.clone()));
            reports.push(report);
        }
    }

    fn apply(
        &mut self,
        now: Instant,
        (term, sequence): (id::Term, id::Sequence),
        allowance: &Allowance,
        granted: &mut Granted,
    ) {
        if allowance.generation != self.generation {
            return;
        }
        let least = self.spent + self.reserved;
        if term > self.limit_term {
            self.limit_term = term;
            self.limit = allowance.limit.max(least);
        } else {
            self.limit = self.limit.max(allowance.limit);
        }
        self.serve(&mut granted.decisions);
        if sequence < self.answered {
            return;
        }
        self.answered = sequence;
        self.refuse_until = Instant::default();
        let Some(retry_ms) = allowance.retry_ms else {
            return;
        };
        self.scarce_until = now + SCARCE_PERIOD;
        if self.free() > 0 || retry_ms == 0 {
            granted.is_urgent |= self.free() > 0 && now.since(self.used_at) >= IDLE_PERIOD;
            return;
        }
        let retry = Duration::from_millis(u64::from(retry_ms));
        self.refuse_until = now + retry;
        let refused = self.waiting.drain(..).map(|ticket| (ticket, Decision::Refuse(retry)));
        granted.decisions.extend(refused);
    }
}
