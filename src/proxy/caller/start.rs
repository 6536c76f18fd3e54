//! The start of a caller's connection: encryption requests, cancel requests, and the start-up parameters of a
//! session.

use std::sync::Arc;
use std::time::Duration;

use bytes::BufMut;
use pgwire::messages::response::TransactionStatus;
use smol::io::{AsyncWriteExt, BufReader};
use smol::net::{TcpListener, TcpStream};

use super::{Caller, Progress, Transaction};
use crate::id;
use crate::pgsql::{Error, Socket, Startup, read_startup};
use crate::proxy::batch::Statements;
use crate::proxy::cancel::{Decision, Token};
use crate::proxy::floor::{Floor, Mark};
use crate::proxy::outcome::{Outcome, Reason, write_error, write_ready};
use crate::proxy::relay::{Writer, write_parameter};
use crate::proxy::server::Shared;
use crate::proxy::session::Session;
use crate::proxy::{handshake, pool, setting};
use crate::report::Peer;

/// The time limit for the start-up of a session.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);

/// The size of a caller's read buffer in bytes. Longer messages bypass it.
const READ_BUFFER_BYTES: usize = 512;

/// The delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The start-up parameters of a session that the proxy uses.
struct Parameters {
    account: id::Account,
    group: id::Group,
    session: Option<id::Session>,
    floor: Option<Floor>,
}

/// Accepts callers and serves each in its own task. Never returns.
pub(in crate::proxy) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((socket, address)) = listener.accept().await else {
            shared.clock.sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let serve = async move {
            let _guard = shared.track_caller();
            if let Err(error) = serve(&shared, socket).await {
                shared.metrics.record_protocol_error(Peer::Caller, error.kind());
                log::debug!("connection of caller {address} closed after an error: {error}");
            }
        };
        smol::spawn(serve).detach();
    }
}

async fn serve(shared: &Arc<Shared>, socket: TcpStream) -> Result<(), Error> {
    crate::socket::keep_alive(&socket)?;
    let mut socket = Socket::from_accepted(socket)?;
    let negotiated = negotiate(shared, &mut socket);
    let negotiated = shared.clock.timeout(STARTUP_TIMEOUT, negotiated).await;
    let negotiated = negotiated.unwrap_or(Err(Error::Timeout(STARTUP_TIMEOUT)));
    let mut writer = Writer::new(socket.clone());
    let reader = BufReader::with_capacity(READ_BUFFER_BYTES, socket);
    let pairs = match negotiated {
        Ok(Some(pairs)) => pairs,
        Ok(None) => return Ok(()),
        Err(error) => return report_error(&mut writer, error).await,
    };
    let parameters = match parse_parameters(&pairs) {
        Ok(parameters) => parameters,
        Err((code, message)) => {
            write_error("FATAL", code, &message, "outcome=not_run", &mut writer.out);
            return Ok(writer.flush().await?);
        }
    };
    if shared.is_draining() {
        let refused = Outcome::refused(Reason::ShuttingDown, Duration::ZERO);
        refused.write_fatal(&mut writer.out);
        return Ok(writer.flush().await?);
    }
    let Some(cancel_entry) = shared.cancel_registry.register() else {
        let refused = Outcome::refused(Reason::Busy, Duration::ZERO);
        refused.write_fatal(&mut writer.out);
        return Ok(writer.flush().await?);
    };
    let session = match &parameters.session {
        Some(name) => shared.sessions.open(&parameters.account, name),
        None => Arc::new(Session::default()),
    };
    let is_floor_known = parameters.floor.is_some();
    session.merge(&parameters.floor.unwrap_or_default());
    let mut caller = Caller {
        connected_at: shared.clock.now(),
        shared: Arc::clone(shared),
        reader,
        writer,
        cancel_entry,
        caller_number: shared.next_caller_number(),
        account: parameters.account,
        group: parameters.group,
        is_floor_known,
        is_named: parameters.session.is_some(),
        session,
        reported_floor: Floor::default(),
        last_read: None,
        read_mark: Mark::default(),
        statements: Statements::default(),
        transaction: Transaction::None,
        transaction_failed: false,
        progress: Progress::NotSent,
    };
    caller.send_greeting().await?;
    match caller.run().await {
        Ok(()) => Ok(()),
        Err(error) => report_error(&mut caller.writer, error).await,
    }
}

/// Reports an error that ends the connection to the caller if the caller broke the protocol or a limit. Returns the
/// error.
async fn report_error(writer: &mut Writer, error: Error) -> Result<(), Error> {
    let code = match &error {
        Error::TooLong { .. } => "54000",
        Error::Protocol(_) => "08P01",
        _ => return Err(error),
    };
    write_error("FATAL", code, &error.to_string(), "outcome=not_run", &mut writer.out);
    let _ = writer.flush().await;
    Err(error)
}

/// Reads start-up packets until the caller starts a session. Returns its parameters, or `None` after a cancel
/// request.
async fn negotiate(
    shared: &Arc<Shared>,
    socket: &mut Socket,
) -> Result<Option<Vec<(String, String)>>, Error> {
    loop {
        match read_startup(socket).await? {
            Startup::Tls => handshake::negotiate_tls(&shared.credentials, socket).await?,
            Startup::Gss => socket.write_all(b"N").await?,
            Startup::Cancel { process, secret } => {
                forward_cancel(shared, Token { process, secret }).await;
                return Ok(None);
            }
            Startup::Session(pairs) => {
                handshake::authenticate(&shared.credentials, socket, &pairs).await?;
                return Ok(Some(pairs));
            }
        }
    }
}

async fn forward_cancel(shared: &Shared, token: Token) {
    match shared.cancel_registry.cancel(token) {
        Decision::Forward(target) => pool::cancel(shared.clock.clone(), target).await,
        Decision::Ignore => {}
        Decision::Foreign => shared.metrics.record_protocol_error(Peer::Caller, "foreign_cancel"),
    }
}

/// Reads the parameters of a session.
///
/// # Errors
///
/// Fails with an SQLSTATE and a message for the caller if a parameter is malformed or not supported.
fn parse_parameters(pairs: &[(String, String)]) -> Result<Parameters, (&'static str, String)> {
    let find = |name: &str| pairs.iter().find(|(known, _)| known == name).map(|(_, v)| v);
    let invalid = |text: &str| ("28000", text.to_owned());
    let user = find("user").ok_or_else(|| invalid("a start-up without a user"))?;
    let account = user.parse().map_err(|error: id::Error| invalid(&error.to_string()))?;
    let group = find("database").unwrap_or(user).parse();
    let group = group.map_err(|error: id::Error| ("3D000", error.to_string()))?;
    let mut parameters = Parameters { account, group, session: None, floor: None };
    for (name, value) in pairs {
        match name.as_str() {
            "user" | "database" => {}
            "options" => parse_options(value, &mut parameters)?,
            "replication" if matches!(value.as_str(), "false" | "off" | "no" | "0") => {}
            "replication" => {
                return Err(("0A000", "replication connections are not supported".to_owned()));
            }
            name if name.starts_with("_pq_.") => {}
            name => check_setting(name, value)?,
        }
    }
    Ok(parameters)
}

fn parse_options(options: &str, parameters: &mut Parameters) -> Result<(), (&'static str, String)> {
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
                parameters.session =
                    Some(session.map_err(|_| malformed("the session is no name"))?);
            }
            "cactushatch.floor" => {
                let floor = value.parse();
                parameters.floor = Some(floor.map_err(|_| malformed("the floor is malformed"))?);
            }
            name => check_setting(name, value)?,
        }
    }
    Ok(())
}

fn check_setting(name: &str, value: &str) -> Result<(), (&'static str, String)> {
    if setting::is_harmless(name, value) {
        return Ok(());
    }
    Err(("0A000", format!("the setting {name} = {value:?} is not supported for a session")))
}

impl Caller {
    async fn send_greeting(&mut self) -> Result<(), Error> {
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
        let token = self.cancel_entry.token();
        out.put_u8(b'K');
        out.put_u32(12);
        out.put_i32(token.process);
        out.put_i32(token.secret);
        write_ready(TransactionStatus::Idle, out);
        self.flush().await
    }
}
