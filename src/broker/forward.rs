//! Forwards the statements of a session to proxies that serve its group.
//!
//! The outcome follows from what was sent, as it does for statements that this proxy runs itself: a serving proxy rolls
//! back the transaction of a stream that ends, so nothing can be kept until a commit or a single write was forwarded.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::need::PositionSample;
use super::peer::{AVOID_PERIOD, MAX_UNUSED, NOT_SERVING_PERIOD, Statement};
use super::recovery::{self, Recovery};
use super::run::{Execution, Refusal, Reply, Runner};
use super::server::Shared;
use crate::clock::Instant;
use crate::config::Placement;
use crate::id;
use crate::proxy::heartbeat::Member;
use crate::report::ForwardResult;
use crate::report::event::{Event, millis};
use crate::statement::Id;
use crate::wire::{Body, Forward, Forwarded, Frame, LastWrite, Server, Serving, Step, Stream};

/// The number of proxies that a statement is forwarded to at most.
const MAX_ATTEMPTS: usize = 3;

/// How long a serving proxy may send nothing, not even that it still works on a statement, until the statement is
/// forwarded to another one: a few times [`super::serve::PROGRESS_INTERVAL`].
const MAX_SILENCE: Duration = Duration::from_millis(400);

/// How long a stream may have been unused when a statement that can't be sent twice is sent on it without a check.
const MAX_UNCHECKED: Duration = Duration::from_millis(500);

/// How long a proxy may take to accept a stream or to answer a ping. This covers many round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How much longer than the serving proxy this one waits, so that the answer that the serving proxy gives at its
/// deadline still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(50);

/// The delay after which a caller may retry when no proxy serves the group: the usual time until the control plane has
/// chosen another one.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Timeout for a rollback, after which the stream is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(500);

/// The request id of statements that this process sends by itself.
const OWN_REQUEST: &str = "-";

/// Forwards the statements of one session.
#[derive(Debug)]
pub(super) struct Forwarder {
    shared: Arc<Shared>,
    transaction: Option<Transaction>,
}

/// A transaction that is open on a serving proxy.
#[derive(Debug)]
struct Transaction {
    peer: Peer,
    /// Whether the transaction may have written.
    wrote: bool,
}

/// A stream to a serving proxy. Streams that are fit for other statements return to the pool.
#[derive(Debug)]
struct Peer {
    shared: Arc<Shared>,
    server: Server,
    /// The stream, and when it was last used.
    stream: Option<(Instant, Stream)>,
    /// Whether nothing is pending on the stream.
    reusable: bool,
}

/// The reason why no answer to a forwarded statement arrived.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Stream(#[from] crate::wire::Error),
    #[error("the proxy does not answer")]
    Silent,
    #[error("no answer in time")]
    Timeout,
    #[error("an answer of an unexpected kind")]
    Unexpected,
}

impl Drop for Peer {
    fn drop(&mut self) {
        let stream = self.stream.take().filter(|_| self.reusable);
        self.shared.lock().peers.end(&self.server, stream);
    }
}

impl Peer {
    /// Returns the stream to the pool on drop, since nothing is pending on it.
    fn keep_stream(&mut self) {
        self.reusable = true;
    }

    /// Sends a statement and returns the answer. `is_unsafe` is whether the statement can't be forwarded again once it
    /// was sent, and `sent` is set then.
    async fn exchange(
        &mut self,
        forward: Forward,
        deadline: Instant,
        is_unsafe: bool,
        sent: &mut bool,
    ) -> Result<(id::Incarnation, Forwarded), Failure> {
        let clock = self.shared.clock.clone();
        self.reusable = false;
        let mut stream = self.take_stream(deadline, is_unsafe).await?;
        if is_unsafe && clock.now() >= deadline {
            // This process may have been suspended. What is sent now can't be taken back.
            return Err(Failure::Timeout);
        }
        *sent = true;
        let frame = self.shared.frame(Body::Forward(forward));
        let sending = stream.send(&frame);
        let left = deadline.since(clock.now());
        clock.timeout(left, sending).await.ok_or(Failure::Timeout)??;
        let mut heard = clock.now();
        loop {
            let left = deadline.since(clock.now());
            let patience = if is_unsafe { left } else { left.min(MAX_SILENCE) };
            let Some(frame) = clock.timeout(patience, stream.receive()).await else {
                let is_silent = clock.now().since(heard) >= MAX_SILENCE;
                return Err(if is_silent { Failure::Silent } else { Failure::Timeout });
            };
            let Frame { incarnation, body, .. } = frame?;
            heard = clock.now();
            self.shared.lock().peers.record_answer(&self.server.node);
            match body {
                Body::Ping => {}
                Body::Forwarded(forwarded) => {
                    self.stream = Some((heard, stream));
                    return Ok((incarnation, forwarded));
                }
                _ => return Err(Failure::Unexpected),
            }
        }
    }

    /// Returns the stream, or connects a new one if it was closed. A connection can also go silent without being closed,
    /// so before an unsafe statement a stream that was not used for a while is pinged.
    async fn take_stream(&mut self, deadline: Instant, is_unsafe: bool) -> Result<Stream, Failure> {
        let clock = self.shared.clock.clone();
        if let Some((used_at, mut stream)) = self.stream.take()
            && !stream.is_closed().await
        {
            if !is_unsafe || clock.now().since(used_at) < MAX_UNCHECKED {
                return Ok(stream);
            }
            let ping = self.shared.frame(Body::Ping);
            let checking = async {
                stream.send(&ping).await?;
                stream.receive().await
            };
            let checked = clock.timeout(CONNECT_TIMEOUT, checking).await;
            if matches!(checked, Some(Ok(Frame { body: Body::Ping, .. }))) {
                return Ok(stream);
            }
        }
        let left = CONNECT_TIMEOUT.min(deadline.since(clock.now()));
        let connecting = Stream::connect(self.server.address);
        let stream = clock.timeout(left, connecting).await.ok_or(Failure::Silent)??;
        // A statement that is given up must not arrive later.
        stream.reset_on_close()?;
        Ok(stream.with_seal(&self.shared.credentials.seal))
    }
}

impl Forwarder {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, transaction: None }
    }

    /// Returns whether a transaction is open on a serving proxy.
    pub(super) fn has_transaction(&self) -> bool {
        self.transaction.is_some()
    }

    /// Forwards a statement. Returns the answer for the caller and whether a transaction is open.
    pub(super) async fn run(
        &mut self,
        runner: &mut Runner,
        mut execution: Execution<'_>,
        step: &Step,
    ) -> (Reply, bool) {
        execution.forwarded = true;
        match self.run_on_any(runner, &mut execution, step).await {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                execution.forwarded = false;
                runner.run_step(execution, step).await
            }
            Err(refusal) => (runner.conclude(&execution, Err(refusal)), false),
        }
    }

    /// Forwards a statement to one proxy after the other until one handles it, as long as nothing of it can be kept.
    /// Returns `None` if this proxy should run the statement itself, since no better home of its account is usable.
    async fn run_on_any(
        &mut self,
        runner: &mut Runner,
        execution: &mut Execution<'_>,
        step: &Step,
    ) -> Result<Option<(Reply, bool)>, Refusal> {
        // This proxy may be listed already while its share is still 0.
        let mut excluded: SmallVec<[id::Node; 4]> = SmallVec::from_iter([self.shared.node.clone()]);
        let mut failed = 0;
        loop {
            let (mut peer, continues, wrote) = match self.transaction.take() {
                Some(transaction) => (transaction.peer, true, transaction.wrote),
                None => match self.choose(execution, &excluded).await? {
                    Some(peer) => (peer, false, false),
                    None => return Ok(None),
                },
            };
            execution.tries += 1;
            let forward = self.message(runner, execution, step, continues);
            let deadline = execution.deadline + DEADLINE_MARGIN;
            let is_unsafe =
                recovery::after_failure(step, continues, wrote, true) != Recovery::Retry;
            let mut sent = false;
            let begun = self.shared.clock.now();
            self.shared.lock().peers.record_sent(&peer.server.node, &execution.database.group);
            let answer = peer.exchange(forward, deadline, is_unsafe, &mut sent).await;
            self.record_load(&peer, execution, begun, &answer);
            let answer = answer.map(|(_, forwarded)| forwarded);
            let (result, reason, may_have_run) = match answer {
                Ok(Forwarded::Handled { reply, is_open, written, .. }) => {
                    self.shared.metrics.record_forward(ForwardResult::Handled);
                    let requested_at = self.shared.clock.now();
                    if let Some(mark) = written {
                        runner.set_last_write(Some(PositionSample { requested_at, mark }));
                    }
                    if is_open {
                        let wrote = wrote || step.writes();
                        self.transaction = Some(Transaction { peer, wrote });
                    } else {
                        peer.keep_stream();
                    }
                    return Ok(Some((reply.into_iter().collect(), is_open)));
                }
                Ok(Forwarded::NotServing) => {
                    self.avoid(&peer, NOT_SERVING_PERIOD);
                    peer.keep_stream();
                    let reason = "the proxy does not serve the group".to_owned();
                    (ForwardResult::NotServing, reason, false)
                }
                Err(failure) => {
                    if !matches!(failure, Failure::Timeout) {
                        self.avoid(&peer, AVOID_PERIOD);
                    }
                    (ForwardResult::Failed, failure.to_string(), sent)
                }
            };
            self.log_failure(execution, &peer.server.node, result, &reason);
            excluded.push(peer.server.node.clone());
            failed += 1;
            match recovery::after_failure(step, continues, wrote, may_have_run) {
                Recovery::End(code) => {
                    return Err(Refusal::new(code, format!("{}: {reason}", peer.server.node)));
                }
                Recovery::Retry
                    if failed >= MAX_ATTEMPTS || self.shared.clock.now() >= execution.deadline =>
                {
                    let reason = "the proxies that serve the group failed";
                    return Err(Refusal::busy(reason, NO_SERVER_RETRY_DELAY));
                }
                Recovery::Retry => {}
            }
        }
    }

    /// Records the load that came with an answer.
    fn record_load(
        &self,
        peer: &Peer,
        execution: &Execution<'_>,
        begun: Instant,
        answer: &Result<(id::Incarnation, Forwarded), Failure>,
    ) {
        let now = self.shared.clock.now();
        let news = match answer {
            Ok((incarnation, Forwarded::Handled { load, .. })) => {
                Some((*incarnation, load, now.since(begun)))
            }
            _ => None,
        };
        let (node, group) = (&peer.server.node, &execution.database.group);
        self.shared.lock().peers.record_load(now, node, group, news);
    }

    /// Returns the message for a statement.
    fn message(
        &self,
        runner: &Runner,
        execution: &Execution<'_>,
        step: &Step,
        continues: bool,
    ) -> Forward {
        let now = self.shared.clock.now();
        let last_write = runner.last_write().map(|sample| LastWrite {
            mark: sample.mark,
            age_ms: u32::try_from(millis(now.since(sample.requested_at))).unwrap_or(u32::MAX),
        });
        Forward {
            request: execution.id.clone(),
            database: execution.database_name.to_owned(),
            identity: execution.identity.cloned(),
            revision: execution.revision,
            values: execution.values.clone(),
            last_write,
            step: step.clone(),
            continues,
            is_stranded: self.shared.lock().stranded.is_stranded(),
        }
    }

    /// Chooses the proxy to forward to. Waits for one, as statements wait for capacity, while none serves the group.
    /// Returns `None` if this proxy should run the statement by itself: if it is now a usable home of the account, or
    /// serves the group and the first home failed.
    async fn choose(
        &self,
        execution: &mut Execution<'_>,
        excluded: &[id::Node],
    ) -> Result<Option<Peer>, Refusal> {
        let shared = &self.shared;
        let started = shared.clock.now();
        let statement = Statement {
            group: &execution.database.group,
            priority: execution.priority,
            max_wait: execution.max_wait().saturating_sub(execution.waited),
        };
        let choose_now = || {
            let now = shared.clock.now();
            let mut state = shared.lock();
            let state = &mut *state;
            let group = &execution.database.group;
            let homes = execution.identity.map_or_else(SmallVec::new, |identity| {
                let place = (&shared.node, &shared.domain);
                state.homes(now, place, group, &identity.account, excluded)
            });
            // After a failed attempt an own connection costs less time than a second attempt at another proxy may.
            let has_failed = execution.identity.is_some() && excluded.len() > 1;
            let is_home = homes.iter().any(|server| server.node == shared.node);
            if is_home || (has_failed && state.serves(group)) {
                return Some(Ok(None));
            }
            let Serving::Listed(servers) = state.fence.table().serving(group) else {
                return None;
            };
            let (domain, peers) = (&shared.domain, &mut state.peers);
            let server = match state.placement {
                Placement::Local => {
                    let servers = if homes.is_empty() { servers } else { &homes[..] };
                    peers.choose(now, domain, servers, excluded)
                }
                Placement::Estimated => {
                    let mut random = fastrand::Rng::new();
                    let highest = state.fleet.priorities().first().copied();
                    let is_urgent = highest.is_none_or(|highest| statement.priority <= highest);
                    let mut refusal = |servers: &[Server]| {
                        peers.refusal(now, statement, servers, excluded, &mut random)
                    };
                    // Homes without capacity are left for the other proxies, where a connection may have to be opened.
                    let is_home_full = !homes.is_empty() && refusal(&homes).is_some();
                    let servers =
                        if homes.is_empty() || is_home_full { servers } else { &homes[..] };
                    if let Some(wait) = (!is_urgent).then(|| refusal(servers)).flatten() {
                        return Some(Err(wait));
                    }
                    let random = &mut fastrand::Rng::new();
                    peers.choose_estimated(now, domain, statement, servers, excluded, random)
                }
            }?
            .clone();
            let stream = state.peers.begin(&server);
            let stream = stream.filter(|(used_at, _)| now.since(*used_at) < MAX_UNUSED);
            let peer = Peer { shared: Arc::clone(shared), server, stream, reusable: false };
            Some(Ok(Some(peer)))
        };
        let choosing = async {
            loop {
                let changed = shared.changed.listen();
                if let Some(peer) = choose_now() {
                    return peer;
                }
                changed.await;
            }
        };
        let left = execution.max_wait().saturating_sub(execution.waited);
        let chosen = shared.clock.timeout(left, choosing).await;
        execution.waited += shared.clock.now().since(started);
        match chosen {
            Some(Ok(peer)) => Ok(peer),
            Some(Err(wait)) => {
                shared.metrics.record_refused_before_forward();
                // Spread, so that the callers that are refused at once don't return at once.
                let wait = wait.mul_f64(1.0 + fastrand::f64() / 2.0);
                let reason = "no proxy that serves the group has room in time";
                Err(Refusal::busy(reason, shared.retry_after(wait)))
            }
            None => {
                let wait = shared.retry_after(NO_SERVER_RETRY_DELAY);
                Err(Refusal::busy("no proxy serves the group", wait))
            }
        }
    }

    fn avoid(&self, peer: &Peer, period: Duration) {
        self.shared.lock().peers.avoid(self.shared.clock.now(), &peer.server.node, period);
    }

    fn log_failure(
        &self,
        execution: &Execution<'_>,
        server: &id::Node,
        result: ForwardResult,
        reason: &str,
    ) {
        self.shared.metrics.record_forward(result);
        let (request, group) = (&execution.id.to_string(), &execution.database.group);
        let elapsed_ms = millis(self.shared.clock.now().since(execution.received_at));
        Event::Forward { request, group, server, reason, elapsed_ms }.log(log::Level::Info);
    }

    /// Rolls back the open transaction, if there is one, in the background.
    pub(super) fn roll_back(&mut self) {
        let Some(Transaction { mut peer, .. }) = self.transaction.take() else {
            return;
        };
        let forward = Forward {
            request: Id::new(OWN_REQUEST),
            database: String::new(),
            identity: None,
            revision: id::Revision::default(),
            values: BTreeMap::new(),
            last_write: None,
            step: Step::Rollback,
            continues: true,
            is_stranded: false,
        };
        smol::spawn(async move {
            let deadline = peer.shared.clock.now() + ROLLBACK_TIMEOUT;
            let answer = peer.exchange(forward, deadline, false, &mut false).await;
            if let Ok((_, Forwarded::Handled { is_open: false, .. })) = answer {
                peer.keep_stream();
            }
        })
        .detach();
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.roll_back();
    }
}
