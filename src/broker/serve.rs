//! Runs the statements that other proxies forward to this one.
//!
//! A stream carries one statement at a time, and belongs to a transaction from its first statement to its end. When the
//! stream ends, the transaction is rolled back. A statement whose stream has ended when it is read is not run.

use std::sync::Arc;
use std::time::Duration;

use smol::net::TcpStream;

use super::need::PositionSample;
use super::presence::Presence;
use super::run::Runner;
use super::server::Shared;
use crate::config::Database;
use crate::proxy::heartbeat::Member;
use crate::proxy::shutdown::Stage;
use crate::report::Peer;
use crate::statement::{Answer, Code};
use crate::wire::{Body, Error, Forward, Forwarded, Frame, Identity, Load, Step, Stream};

/// How often a proxy tells that it still works on a forwarded statement.
pub(super) const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// How much longer than the forwarding proxy this one waits for the next statement of an idle transaction, since that
/// proxy ends it with an answer for the caller.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// How long a stream without a transaction may carry nothing until it is closed. The forwarding proxy may have given it up
/// without this one being told.
const MAX_IDLE: Duration = Duration::from_secs(60);

/// The text for a statement whose answer doesn't fit a frame.
const TOO_LARGE: &str =
    "the rows of the answer are too large to be passed on to the caller's proxy";

/// Serves another proxy until its stream ends.
pub(super) async fn serve(shared: Arc<Shared>, socket: TcpStream) {
    let mut handler = Handler {
        runner: Runner::new(Arc::clone(&shared)),
        shared: Arc::clone(&shared),
        database: None,
        identity: None,
        presence: Presence::default(),
        open_session: None,
    };
    if let Err(error) = handler.run(socket).await {
        if !matches!(error, Error::Io(_)) {
            shared.metrics.record_protocol_error(Peer::Process, error.kind());
        }
        log::debug!("stream of a proxy ended: {error}");
    }
}

/// Counts as an open session, for which a shutdown waits, until dropped.
#[derive(Debug)]
struct OpenSession(Arc<Shared>);

impl OpenSession {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.shutdown.session_opened();
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.0.shutdown.session_closed();
    }
}

/// Handles the statements of one stream.
struct Handler {
    shared: Arc<Shared>,
    runner: Runner,
    /// The database of the open transaction.
    database: Option<Database>,
    /// The account of the open transaction, if the deployment has accounts.
    identity: Option<Identity>,
    /// The forwarding proxy.
    presence: Presence,
    /// Held while a statement runs or a transaction is open.
    open_session: Option<OpenSession>,
}

impl Handler {
    async fn run(&mut self, socket: TcpStream) -> Result<(), Error> {
        let mut stream = Stream::from_accepted(socket)?.with_seal(&self.shared.credentials.seal);
        self.presence = Presence::new(stream.socket().clone());
        while let Some(frame) = self.receive(&mut stream).await? {
            let kept = matches!(&frame.body, Body::Forward(forward) if is_kept(&forward.step));
            let answer = match frame.body {
                // The forwarding proxy has given the statement up and may have answered its caller. The stream was held up,
                // or this process was suspended.
                Body::Forward(_) if stream.is_closed().await => {
                    log::info!(
                        "a forwarded statement was given up before it arrived, and is not run"
                    );
                    return Ok(());
                }
                Body::Forward(forward) => {
                    Body::Forwarded(self.handle_with_progress(&mut stream, forward).await)
                }
                Body::Ping => Body::Ping,
                _ => return Ok(()),
            };
            self.send(&mut stream, answer, kept).await?;
            // A shutdown waits until the answer has been sent.
            if !self.runner.has_connection() {
                self.open_session = None;
            }
        }
        Ok(())
    }

    /// Sends an answer. One that doesn't fit a frame is replaced, since the other proxy would take the end of the stream for
    /// a failure of this one. `kept` is whether the statement took effect if it succeeded.
    async fn send(&mut self, stream: &mut Stream, answer: Body, kept: bool) -> Result<(), Error> {
        let mut frame = self.shared.frame(answer);
        let sent = stream.send(&frame).await;
        let (
            Err(Error::TooLong { .. }),
            Body::Forwarded(Forwarded::Handled { reply, is_open, .. }),
        ) = (&sent, &mut frame.body)
        else {
            return sent;
        };
        let (code, text) = match (*is_open, kept) {
            (true, _) => (Code::Aborted, TOO_LARGE),
            (false, true) => (Code::Unknown, "the statement ran, and its rows are too large"),
            (false, false) => (Code::Failed, TOO_LARGE),
        };
        *reply = vec![Answer::Failed { code, text: text.into() }];
        *is_open = false;
        self.runner.roll_back();
        stream.send(&frame).await
    }

    /// Handles a statement, and meanwhile tells the forwarding proxy from time to time that it is being handled.
    async fn handle_with_progress(&mut self, stream: &mut Stream, forward: Forward) -> Forwarded {
        let shared = Arc::clone(&self.shared);
        let progress = shared.frame(Body::Ping);
        let mut handling = std::pin::pin!(self.handle(forward));
        loop {
            let answer = shared.clock.timeout(PROGRESS_INTERVAL, handling.as_mut()).await;
            if let Some(answer) = answer {
                return answer;
            }
            // A statement that was sent to an instance runs to its end even if nobody waits for it any more.
            if let Err(error) = stream.send(&progress).await {
                log::debug!("progress of a statement could not be sent: {error}");
                return handling.await;
            }
        }
    }

    /// Receives the next frame. Returns `None` if the stream has been idle for too long, or the open transaction must end
    /// instead.
    async fn receive(&self, stream: &mut Stream) -> Result<Option<Frame>, Error> {
        let receiving = async { stream.receive().await.map(Some) };
        if !self.runner.has_connection() {
            let received = self.shared.clock.timeout(MAX_IDLE, receiving).await;
            return received.unwrap_or(Ok(None));
        }
        let aborting = async {
            self.shared.shutdown.wait_for(Stage::Aborting).await;
            Ok(None)
        };
        let waiting = smol::future::or(receiving, aborting);
        match self.shared.idle_transaction() {
            Some(idle) => {
                let received = self.shared.clock.timeout(idle + IDLE_MARGIN, waiting).await;
                received.unwrap_or(Ok(None))
            }
            None => waiting.await,
        }
    }

    /// Runs a statement, unless this proxy should not run it.
    async fn handle(&mut self, forward: Forward) -> Forwarded {
        if forward.continues && !self.runner.has_connection() {
            let text = "the transaction was lost".into();
            return refused(vec![Answer::Failed { code: Code::Aborted, text }]);
        }
        if !forward.continues {
            self.runner.roll_back();
            self.database = self.shared.database(&forward.database);
            let leaves = self.shared.shutdown.has_reached(Stage::Draining);
            let is_stranded = self.shared.lock().stranded.is_stranded();
            if leaves
                || (is_stranded && !forward.is_stranded)
                || !self.database.as_ref().is_some_and(|db| self.shared.serves(&db.group))
            {
                return Forwarded::NotServing;
            }
        }
        let Some(database) = self.database.clone() else {
            return Forwarded::NotServing;
        };
        if !forward.continues {
            let keys = Arc::clone(&self.shared.lock().keys);
            match keys.check_forwarded(forward.identity, forward.revision, database.open) {
                Ok(identity) => self.identity = identity,
                Err(reason) => {
                    log::info!("refusing a forwarded statement on {}: {reason}", forward.database);
                    let text = "the key is not known".into();
                    return refused(vec![Answer::Failed { code: Code::NotAuthenticated, text }]);
                }
            }
        }
        if self.open_session.is_none() {
            self.open_session = Some(OpenSession::new(&self.shared));
        }
        let now = self.shared.clock.now();
        self.runner.set_last_write(forward.last_write.map(|write| PositionSample {
            requested_at: now - Duration::from_millis(u64::from(write.age_ms)),
            mark: write.mark,
        }));
        let before = self.runner.last_write();
        let mut execution = self.runner.start_execution(
            &forward.request,
            &forward.values,
            (&forward.database, &database),
            self.identity.as_ref(),
        );
        execution.presence = self.presence.clone();
        let (reply, is_open) = self.runner.run_step(execution, &forward.step).await;
        let written = self.runner.last_write().filter(|_| self.runner.last_write() != before);
        Forwarded::Handled {
            reply: reply.into_vec(),
            is_open,
            written: written.map(|sample| sample.mark),
            load: self.shared.published_load(&database.group),
        }
    }
}

/// Returns whether the effect of a statement that succeeds is kept.
fn is_kept(step: &Step) -> bool {
    match step {
        Step::Single(_) => step.writes(),
        Step::Commit { .. } => true,
        Step::InTransaction { .. } | Step::Rollback => false,
    }
}

/// Returns the answer to a statement that did not run.
fn refused(reply: Vec<Answer>) -> Forwarded {
    Forwarded::Handled { reply, is_open: false, written: None, load: Load::default() }
}
