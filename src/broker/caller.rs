//! One caller's connection: reads its messages, has them run, writes the answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};

use super::run::{Reply, Runner};
use super::server::Shared;
use super::session::{Session, Step};
use crate::clock::Instant;
use crate::config::Database;
use crate::proxy::closing::Stage;
use crate::report::Peer;
use crate::statement::{Answer, Call, Code, Id, Malformed, State, Statement};

/// How long a caller may take to open its session.
const OPEN: Duration = Duration::from_secs(5);

/// How long a caller may take none of an answer until it is cut off.
const WRITE: Duration = Duration::from_secs(5);

/// How long to wait before the next connection is taken when one could not be.
const PAUSE: Duration = Duration::from_millis(50);

/// How many bytes are read at once.
const READ_BYTES: usize = 4 * 1024;

/// Why a caller's connection ended.
#[derive(Debug, thiserror::Error)]
enum End {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Malformed(#[from] Malformed),
    #[error("the caller was too slow")]
    TooSlow,
}

/// What comes next on a caller's connection.
enum Next {
    Call(Call),
    /// The caller has gone.
    Gone,
    /// The process ends, or others serve the session better, and it may end now.
    Closing,
    /// The transaction has rested for too long, or may not outlive the process.
    GiveUp,
}

/// Takes callers for ever.
pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                smol::spawn(serve(Arc::clone(&shared), socket)).detach();
            }
            Err(error) => {
                log::warn!("a caller could not be taken: {error}");
                shared.clock.sleep(PAUSE).await;
            }
        }
    }
}

async fn serve(shared: Arc<Shared>, socket: TcpStream) {
    shared.closing.session_opened();
    shared.metrics.caller_came();
    let mut caller = Caller {
        socket,
        input: BytesMut::new(),
        output: BytesMut::new(),
        session: Session::default(),
        opened: shared.clock.now(),
        spread: fastrand::f64(),
        runner: Runner::new(Arc::clone(&shared)),
        shared: Arc::clone(&shared),
    };
    if let Err(end) = caller.run().await {
        if let End::Malformed(malformed) = &end {
            shared.metrics.violated(Peer::Caller, malformed.kind());
            log::info!("a caller is cut off: {end}");
        }
        log::debug!("a caller's connection ended: {end}");
    }
    drop(caller);
    shared.metrics.caller_left();
    shared.closing.session_closed();
}

struct Caller {
    shared: Arc<Shared>,
    socket: TcpStream,
    input: BytesMut,
    output: BytesMut,
    session: Session,
    opened: Instant,
    /// The place of this session among those that are ended together.
    spread: f64,
    runner: Runner,
}

impl Caller {
    async fn run(&mut self) -> Result<(), End> {
        self.socket.set_nodelay(true)?;
        let clock = self.shared.clock.clone();
        let opened = clock.timeout(OPEN, self.call()).await.ok_or(End::TooSlow)??;
        let Some(Call::Open { database }) = opened else {
            return Ok(());
        };
        if !self.shared.configured().await {
            return self.refuse(Code::Busy, "no configuration is in force yet").await;
        }
        if self.shared.database(&database).is_none() {
            return self.refuse(Code::NoDatabase, "there is no such database").await;
        }
        self.ready();
        self.flush().await?;
        loop {
            match self.next().await? {
                Next::Call(Call::Query { id, statement }) => {
                    self.query(&database, &id, statement).await;
                    self.flush().await?;
                }
                Next::Call(Call::Open { .. }) => {
                    return self.refuse(Code::Malformed, "the session is open already").await;
                }
                Next::Call(Call::Close) | Next::Gone | Next::Closing => return Ok(()),
                Next::GiveUp => {
                    log::info!("a transaction on {database} has rested for too long");
                    self.runner.roll_back();
                    self.session.fail();
                }
            }
        }
    }

    /// Waits for what comes next.
    async fn next(&mut self) -> Result<Next, End> {
        let open = self.session.state() == State::Open;
        let idle = self.session.state() == State::Idle;
        let (opened, spread) = (self.opened, self.spread);
        let shared = Arc::clone(&self.shared);
        let stage = if open { Stage::Ending } else { Stage::Closing };
        let rest = shared.idle_transaction().filter(|_| self.runner.holds());
        let call = async {
            Ok(match self.call().await? {
                Some(call) => Next::Call(call),
                None => Next::Gone,
            })
        };
        let closing = async {
            shared.closing.wait_for(stage).await;
            Ok(if open { Next::GiveUp } else { Next::Closing })
        };
        let stranded = async {
            if !idle {
                std::future::pending::<()>().await;
            }
            shared.stranded(opened, spread).await;
            Ok(Next::Closing)
        };
        let waiting = smol::future::or(call, smol::future::or(closing, stranded));
        match rest {
            Some(rest) => shared.clock.timeout(rest, waiting).await.unwrap_or(Ok(Next::GiveUp)),
            None => waiting.await,
        }
    }

    /// Receives the next message, or nothing at the end of the connection.
    async fn call(&mut self) -> Result<Option<Call>, End> {
        loop {
            if let Some(call) = self.shared.codec.call(&mut self.input)? {
                return Ok(Some(call));
            }
            let mut buffer = [0; READ_BYTES];
            match self.socket.read(&mut buffer).await? {
                0 => return Ok(None),
                len => self.input.extend_from_slice(&buffer[..len]),
            }
        }
    }

    async fn query(&mut self, name: &str, id: &Id, statement: Statement) {
        let step = self.session.step(statement);
        let reply = match (step, self.shared.database(name)) {
            (Step::Done, _) => Reply::from_iter([Answer::Done("-".to_owned())]),
            (Step::Refuse(code, text), _) => {
                self.runner.roll_back();
                Reply::from_iter([Answer::Failed { code, text: text.to_owned() }])
            }
            (Step::Rollback, _) => {
                self.runner.roll_back();
                Reply::from_iter([Answer::Done("-".to_owned())])
            }
            (_, None) if !self.runner.holds() => {
                self.session.fail();
                let text = "the database was removed".to_owned();
                Reply::from_iter([Answer::Failed { code: Code::NoDatabase, text }])
            }
            (step, known) => self.run_step((name, known.as_ref()), id, step).await,
        };
        for answer in &reply {
            self.shared.codec.reply(answer, &mut self.output);
        }
        self.ready();
    }

    async fn run_step(
        &mut self,
        (name, database): (&str, Option<&Database>),
        id: &Id,
        step: Step,
    ) -> Reply {
        let Some(database) = database else {
            return Reply::new();
        };
        let attempt = self.runner.attempt(id, &self.session, (name, database));
        match step {
            Step::Single(work) => self.runner.single(attempt, &work).await,
            Step::Inside { work, read_only } => {
                let (reply, goes_on) = self.runner.inside(attempt, &work, read_only).await;
                if !goes_on {
                    self.session.fail();
                }
                reply
            }
            Step::Commit { read_only } => self.runner.commit(attempt, read_only).await,
            Step::Done | Step::Refuse(..) | Step::Rollback => Reply::new(),
        }
    }

    fn ready(&mut self) {
        let ready = Answer::Ready { state: self.session.state(), position: None };
        self.shared.codec.reply(&ready, &mut self.output);
    }

    /// Refuses the connection as a whole.
    async fn refuse(&mut self, code: Code, text: &str) -> Result<(), End> {
        let answer = Answer::Failed { code, text: text.to_owned() };
        self.shared.codec.reply(&answer, &mut self.output);
        self.flush().await
    }

    async fn flush(&mut self) -> Result<(), End> {
        let output = self.output.split();
        let written = self.shared.clock.timeout(WRITE, self.socket.write_all(&output)).await;
        Ok(written.ok_or(End::TooSlow)??)
    }
}
