//! How a caller's connection begins: encryption asked for, a cancel request, or a session with its parameters.

use std::sync::Arc;
use std::time::Duration;

use bytes::BufMut;
use pgwire::messages::response::TransactionStatus;
use smol::io::{AsyncWriteExt, BufReader};
use smol::net::{TcpListener, TcpStream};
use socket2::{SockRef, TcpKeepalive};

use super::{Caller, Open, Progress};
use crate::id;
use crate::pgsql::{Error, Socket, Startup, read_startup};
use crate::proxy::batch::Statements;
use crate::proxy::cancel::{Answer, Token};
use crate::proxy::floor::{Floor, Mark};
use crate::proxy::outcome::{Outcome, Reason, write_error, write_ready};
use crate::proxy::relay::{Writer, write_parameter};
use crate::proxy::server::Shared;
use crate::proxy::session::Session;
use crate::proxy::{handshake, pool, setting};
use crate::report::Peer;

/// How long a caller may take to start its session.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The read buffer of a caller, in bytes; longer messages are read past it.
const BUFFER_BYTES: usize = 512;

/// How long a caller's connection is silent before it is probed, and how often it is then.
const KEEPALIVE_TIME: Duration = Duration::from_secs(60);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// How long to wait after a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(10);

/// What a caller asks for in its start-up.
struct Start {
    customer: id::Customer,
    group: id::Group,
    session: Option<id::Session>,
    floor: Option<Floor>,
}

/// Takes callers for ever.
pub(in crate::proxy) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((socket, from)) = listener.accept().await else {
            shared.clock.sleep(PAUSE).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let serve = async move {
            let _serving = shared.track_caller();
            if let Err(error) = serve(&shared, socket).await {
                shared.metrics.violated(Peer::Caller, error.kind());
                log::debug!("the connection of {from} ended: {error}");
            }
        };
        smol::spawn(serve).detach();
    }
}

async fn serve(shared: &Arc<Shared>, socket: TcpStream) -> Result<(), Error> {
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_TIME).with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(&socket).set_tcp_keepalive(&keepalive)?;
    let mut socket = Socket::from_accepted(socket)?;
    let begun = begin(shared, &mut socket);
    let begun = shared.clock.timeout(START_TIMEOUT, begun).await;
    let begun = begun.unwrap_or(Err(Error::Timeout(START_TIMEOUT)));
    let mut writer = Writer::new(socket.clone());
    let reader = BufReader::with_capacity(BUFFER_BYTES, socket);
    let parameters = match begun {
        Ok(Some(parameters)) => parameters,
        Ok(None) => return Ok(()),
        Err(error) => return end(&mut writer, error).await,
    };
    let start = match read_start(&parameters) {
        Ok(start) => start,
        Err((code, why)) => {
            write_error("FATAL", code, &why, "outcome=not_run", &mut writer.out);
            return Ok(writer.flush().await?);
        }
    };
    if shared.is_draining() {
        let refused = Outcome::refused(Reason::ShuttingDown, Duration::ZERO);
        refused.write_fatal(&mut writer.out);
        return Ok(writer.flush().await?);
    }
    let Some(entry) = shared.cancel_registry.register() else {
        let refused = Outcome::refused(Reason::Busy, Duration::ZERO);
        refused.write_fatal(&mut writer.out);
        return Ok(writer.flush().await?);
    };
    let session = match &start.session {
        Some(name) => shared.sessions.open(&start.customer, name),
        None => Arc::new(Session::default()),
    };
    let placed = start.floor.is_some();
    session.merge(&start.floor.unwrap_or_default());
    let mut caller = Caller {
        arrived: shared.clock.now(),
        shared: Arc::clone(shared),
        reader,
        writer,
        entry,
        number: shared.next_caller_number(),
        customer: start.customer,
        group: start.group,
        placed,
        named: start.session.is_some(),
        session,
        told: Floor::default(),
        seen: None,
        read: Mark::default(),
        statements: Statements::default(),
        open: Open::None,
        failed: false,
        progress: Progress::Waiting,
    };
    caller.welcome().await?;
    match caller.run().await {
        Ok(()) => Ok(()),
        Err(error) => end(&mut caller.writer, error).await,
    }
}

/// Tells the caller why its connection ends, as far as the protocol allows.
async fn end(writer: &mut Writer, error: Error) -> Result<(), Error> {
    let code = match &error {
        Error::TooLong { .. } => "54000",
        Error::Protocol(_) => "08P01",
        _ => return Err(error),
    };
    write_error("FATAL", code, &error.to_string(), "outcome=not_run", &mut writer.out);
    let _ = writer.flush().await;
    Err(error)
}

/// Reads start-up packets until a session begins; returns `None` when none does.
async fn begin(
    shared: &Arc<Shared>,
    socket: &mut Socket,
) -> Result<Option<Vec<(String, String)>>, Error> {
    loop {
        match read_startup(socket).await? {
            Startup::Tls => handshake::negotiate_tls(&shared.guard, socket).await?,
            Startup::Gss => socket.write_all(b"N").await?,
            Startup::Cancel { process, secret } => {
                cancel(shared, Token { process, secret }).await;
                return Ok(None);
            }
            Startup::Session(parameters) => {
                handshake::authenticate(&shared.guard, socket, &parameters).await?;
                return Ok(Some(parameters));
            }
        }
    }
}

async fn cancel(shared: &Shared, token: Token) {
    match shared.cancel_registry.cancel(token) {
        Answer::Forward(target) => pool::cancel(shared.clock.clone(), target).await,
        Answer::Nothing => {}
        Answer::Foreign => shared.metrics.violated(Peer::Caller, "foreign_cancel"),
    }
}

/// Checks what a start-up asks for; a refusal has its SQLSTATE and its text.
fn read_start(parameters: &[(String, String)]) -> Result<Start, (&'static str, String)> {
    let find = |name: &str| parameters.iter().find(|(known, _)| known == name).map(|(_, v)| v);
    let invalid = |text: &str| ("28000", text.to_owned());
    let user = find("user").ok_or_else(|| invalid("a start-up without a user"))?;
    let customer = user.parse().map_err(|error: id::Error| invalid(&error.to_string()))?;
    let group = find("database").unwrap_or(user).parse();
    let group = group.map_err(|error: id::Error| ("3D000", error.to_string()))?;
    let mut start = Start { customer, group, session: None, floor: None };
    for (name, value) in parameters {
        match name.as_str() {
            "user" | "database" => {}
            "options" => read_options(value, &mut start)?,
            "replication" if matches!(value.as_str(), "false" | "off" | "no" | "0") => {}
            "replication" => {
                return Err(("0A000", "replication connections are not supported".to_owned()));
            }
            name if name.starts_with("_pq_.") => {}
            name => check(name, value)?,
        }
    }
    Ok(start)
}

fn read_options(options: &str, start: &mut Start) -> Result<(), (&'static str, String)> {
    let malformed = |what: &str| ("22023", format!("{what} in the start-up options"));
    let mut words = options.split_whitespace();
    while let Some(word) = words.next() {
        let setting = match word.strip_prefix("-c").or(word.strip_prefix("--")) {
            Some("") => words.next().unwrap_or_default(),
            Some(setting) => setting,
            None => return Err(malformed(&format!("{word:?} is not understood"))),
        };
        let Some((name, value)) = setting.split_once('=') else {
            return Err(malformed(&format!("{setting:?} has no value")));
        };
        match name {
            "cactushatch.session" => {
                let session = value.parse();
                start.session = Some(session.map_err(|_| malformed("the session is no name"))?);
            }
            "cactushatch.floor" => {
                let floor = value.parse();
                start.floor = Some(floor.map_err(|_| malformed("the floor is malformed"))?);
            }
            name => check(name, value)?,
        }
    }
    Ok(())
}

fn check(name: &str, value: &str) -> Result<(), (&'static str, String)> {
    if setting::is_harmless(name, value) {
        return Ok(());
    }
    Err(("0A000", format!("the setting {name} = {value:?} is not supported for a session")))
}

impl Caller {
    async fn welcome(&mut self) -> Result<(), Error> {
        let out = &mut self.writer.out;
        out.put_slice(b"R\0\0\0\x08\0\0\0\0");
        let parameters = [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("TimeZone", "UTC"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            write_parameter(name, value, out);
        }
        let token = self.entry.token();
        out.put_u8(b'K');
        out.put_u32(12);
        out.put_i32(token.process);
        out.put_i32(token.secret);
        write_ready(TransactionStatus::Idle, out);
        self.flush().await
    }
}
