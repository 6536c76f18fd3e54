//! Sessions of clients over the PostgreSQL protocol.

use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cactushatch::wire::Role;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::response::TransactionStatus;
use rusqlite::Connection;
use rusqlite::types::Value;

use super::codec::{Client, Startup, decode_parameter, read_message, read_startup};
use super::execute::{sqlite_error, unknown_statement};
use super::instance::{Instance, status_columns};
use super::reply::{Column, Reply, TEXT, result_columns};
use super::sql::{self, Statement};

/// How long a write transaction may wait for the next message of its client.
const IDLE_IN_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(2);

/// How often a connection that is cut off checks whether the fault has ended.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts connections until the process ends.
pub fn listen(instance: &Arc<Instance>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(instance.settings.listen)?;
    for socket in listener.incoming() {
        let socket = socket?;
        let instance = Arc::clone(instance);
        std::thread::spawn(move || {
            instance.counters.record_connection();
            let open = instance.open_connections.fetch_add(1, Ordering::SeqCst);
            if let Err(error) = Session::serve(&instance, socket, open) {
                log::debug!("client connection closed: {error}");
            }
            instance.open_connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
    Ok(())
}

#[derive(Debug, Clone)]
struct PreparedStatement {
    text: String,
    types: Vec<u32>,
}

#[derive(Debug, Clone)]
struct Portal {
    text: String,
    parameters: Vec<Value>,
    formats: Vec<i16>,
}

/// The session of a client.
pub struct Session<'a> {
    pub(super) instance: &'a Instance,
    pub(super) database: Connection,
    generation: u64,
    domain: String,
    process_id: i32,
    /// Whether the connection is to be closed without an answer.
    answer_lost: bool,
    /// The number of answers that were sent.
    answers: u32,
    /// The write statements of the open transaction, for the log.
    pub(super) pending_statements: Vec<String>,
    pub(super) status: TransactionStatus,
    /// Whether the session holds the write lock of the instance.
    holds_writer: bool,
    prepared_statements: HashMap<String, PreparedStatement>,
    portals: HashMap<String, Portal>,
    /// The value of the setting `cactushatch.nonce`.
    nonce: String,
    pub(super) reply: Reply,
}

/// An error for the client: SQLSTATE and message.
pub type SqlError = (&'static str, String);

impl<'a> Session<'a> {
    fn serve(instance: &'a Instance, mut socket: TcpStream, open: usize) -> anyhow::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let Client { domain, superuser } = match read_startup(&mut reader, &mut socket)? {
            Startup::Client(client) => client,
            Startup::Cancel(process_id) => {
                if let Some(interrupt) = instance.interrupt_handles.lock().unwrap().get(&process_id)
                {
                    interrupt.interrupt();
                }
                return Ok(());
            }
        };
        let mut reply = Reply::default();
        if open >= instance.settings.connections && !superuser {
            reply.error_response("53300", "sorry, too many clients already");
            socket.write_all(&reply.buffer)?;
            return Ok(());
        }
        std::thread::sleep(instance.settings.connect_time);
        while instance.faults.is_cut(&domain) {
            std::thread::sleep(CUT_POLL_INTERVAL);
        }
        let process_id = instance.next_process_id.fetch_add(1, Ordering::SeqCst);
        reply.startup_complete(process_id, process_id);
        reply.ready_for_query(TransactionStatus::Idle);
        socket.write_all(&reply.buffer)?;
        reply.buffer.clear();
        let generation = instance.journal.log.lock().unwrap().generation;
        let mut session = Session {
            instance,
            database: instance.journal.connect()?,
            generation,
            domain,
            process_id,
            answer_lost: false,
            answers: 0,
            pending_statements: Vec::new(),
            status: TransactionStatus::Idle,
            holds_writer: false,
            prepared_statements: HashMap::new(),
            portals: HashMap::new(),
            nonce: String::new(),
            reply,
        };
        let interrupt = session.database.get_interrupt_handle();
        instance.interrupt_handles.lock().unwrap().insert(process_id, interrupt);
        let result = session.run(&mut reader, &mut socket);
        instance.interrupt_handles.lock().unwrap().remove(&process_id);
        session.end_transaction();
        result
    }

    fn run(&mut self, reader: &mut impl Read, socket: &mut TcpStream) -> anyhow::Result<()> {
        let mut skipping_to_sync = false;
        loop {
            // A transaction whose client has gone must not hold the write lock forever.
            socket.set_read_timeout(self.holds_writer.then_some(IDLE_IN_TRANSACTION_TIMEOUT))?;
            let Some(message) = read_message(reader)? else {
                return Ok(());
            };
            self.wait_while_cut()?;
            let sends_reply = matches!(
                message,
                PgWireFrontendMessage::Query(_)
                    | PgWireFrontendMessage::Sync(_)
                    | PgWireFrontendMessage::Flush(_)
            );
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            if matches!(message, PgWireFrontendMessage::Sync(_)) {
                skipping_to_sync = false;
            }
            if !skipping_to_sync && let Err((code, text)) = self.handle_message(message) {
                self.report_error(code, &text);
                skipping_to_sync = true;
            }
            if self.answer_lost {
                anyhow::bail!("answer dropped by the fault lose_after_commit");
            }
            if sends_reply {
                self.send_reply(socket)?;
            }
        }
    }

    fn send_reply(&mut self, socket: &mut TcpStream) -> anyhow::Result<()> {
        std::thread::sleep(self.instance.faults.answer_delay());
        self.wait_while_cut()?;
        if self.instance.journal.log.lock().unwrap().generation != self.generation {
            anyhow::bail!(
                "the role changed or the log was truncated after the connection was opened"
            );
        }
        socket.write_all(&self.reply.buffer)?;
        self.answers += 1;
        if let Some(delay) = self.instance.faults.second_answer(self.answers) {
            let (mut socket, answer) = (socket.try_clone()?, self.reply.buffer.clone());
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                let _ = socket.write_all(&answer);
            });
        }
        self.reply.buffer.clear();
        Ok(())
    }

    /// Waits while a fault cuts the connection off. Fails if the session holds the write lock for longer than
    /// `IDLE_IN_TRANSACTION_TIMEOUT` meanwhile, which ends its transaction.
    fn wait_while_cut(&self) -> anyhow::Result<()> {
        let start = Instant::now();
        let faults = &self.instance.faults;
        while faults.is_cut(&self.domain) || faults.is_half_open(self.process_id) {
            if self.holds_writer && start.elapsed() > IDLE_IN_TRANSACTION_TIMEOUT {
                anyhow::bail!(
                    "write transaction idle for more than {IDLE_IN_TRANSACTION_TIMEOUT:?}"
                );
            }
            std::thread::sleep(CUT_POLL_INTERVAL);
        }
        Ok(())
    }

    fn handle_message(&mut self, message: PgWireFrontendMessage) -> Result<(), SqlError> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.simple_query(&query.query);
                Ok(())
            }
            PgWireFrontendMessage::Parse(parse) => {
                let mut types = sql::parameter_types(&parse.query);
                for (index, oid) in parse.type_oids.iter().enumerate() {
                    if *oid != 0 && index < types.len() {
                        types[index] = *oid;
                    }
                }
                let name = parse.name.unwrap_or_default();
                self.prepared_statements
                    .insert(name, PreparedStatement { text: parse.query, types });
                self.reply.parse_complete();
                Ok(())
            }
            PgWireFrontendMessage::Bind(bind) => {
                let statement = bind.statement_name.unwrap_or_default();
                let prepared = self
                    .prepared_statements
                    .get(&statement)
                    .ok_or_else(|| unknown_statement(&statement))?;
                let mut parameters = Vec::new();
                for (index, bytes) in bind.parameters.iter().enumerate() {
                    let binary = match bind.parameter_format_codes.as_slice() {
                        [] => false,
                        [one] => *one == 1,
                        many => many.get(index) == Some(&1),
                    };
                    let type_oid = prepared.types.get(index).copied().unwrap_or(TEXT);
                    parameters.push(decode_parameter(bytes.as_deref(), type_oid, binary));
                }
                let portal = Portal {
                    text: prepared.text.clone(),
                    parameters,
                    formats: bind.result_column_format_codes,
                };
                self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
                self.reply.bind_complete();
                Ok(())
            }
            PgWireFrontendMessage::Describe(describe) => {
                self.describe(describe.target_type, &describe.name.unwrap_or_default())
            }
            PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let portal = self.portals.get(&name).cloned();
                let portal = portal.ok_or(("34000", format!("portal {name:?} does not exist")))?;
                self.run_statement(&portal.text, &portal.parameters, &portal.formats, false)
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.prepared_statements.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.reply.close_complete();
                Ok(())
            }
            PgWireFrontendMessage::Sync(_) => {
                self.portals.clear();
                self.reply.ready_for_query(self.status);
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => Ok(()),
            _ => Err(("0A000", "the stand-in does not know this message".to_owned())),
        }
    }

    fn simple_query(&mut self, text: &str) {
        let statements = sql::split(text);
        let mut implicit = statements.len() > 1 && self.status == TransactionStatus::Idle;
        if statements.is_empty() {
            self.reply.empty_query_response();
        }
        let mut result = Ok(());
        if implicit {
            result = self.begin(false);
        }
        for statement in statements {
            // As in PostgreSQL, a BEGIN turns the implicit transaction of the query into an explicit one, which
            // stays open after the query.
            implicit &= !matches!(sql::parse(statement), Statement::Begin { .. });
            if result.is_ok() {
                result = self.run_statement(statement, &[], &[], true);
            }
        }
        if implicit && result.is_ok() && self.status == TransactionStatus::Transaction {
            result = self.commit();
        }
        if let Err((code, message)) = result {
            self.report_error(code, &message);
            if implicit {
                self.end_transaction();
            }
        }
        self.reply.ready_for_query(self.status);
    }

    /// Appends an error to the reply and marks an open transaction as failed.
    fn report_error(&mut self, code: &str, message: &str) {
        self.reply.error_response(code, message);
        if self.status == TransactionStatus::Transaction {
            self.status = TransactionStatus::Error;
        }
    }

    fn describe(&mut self, target: u8, name: &str) -> Result<(), SqlError> {
        if target == b'S' {
            let prepared = self
                .prepared_statements
                .get(name)
                .cloned()
                .ok_or_else(|| unknown_statement(name))?;
            self.reply.parameter_description(&prepared.types);
            let columns = self.columns_of_query(&prepared.text)?;
            self.reply.row_description(&columns, &[]);
        } else {
            let portal = self.portals.get(name).cloned();
            let portal = portal.ok_or(("34000", format!("portal {name:?} does not exist")))?;
            let columns = self.columns_of_query(&portal.text)?;
            self.reply.row_description(&columns, &portal.formats);
        }
        Ok(())
    }

    fn columns_of_query(&self, text: &str) -> Result<Vec<Column>, SqlError> {
        match sql::parse(text) {
            Statement::Status
            | Statement::Promote(_)
            | Statement::Follow(..)
            | Statement::Demote(_) => Ok(status_columns(sql::nonce(text).is_some())),
            Statement::Plain(text) => {
                let statement = self.database.prepare(&text).map_err(sqlite_error)?;
                Ok(result_columns(&statement))
            }
            _ => Ok(Vec::new()),
        }
    }

    fn run_statement(
        &mut self,
        text: &str,
        parameters: &[Value],
        formats: &[i16],
        with_description: bool,
    ) -> Result<(), SqlError> {
        let statement = sql::parse(text);
        let ends_transaction = matches!(statement, Statement::Commit | Statement::Rollback);
        if self.status == TransactionStatus::Error && !ends_transaction {
            let message = "current transaction is aborted, commands ignored until end of block";
            return Err(("25P02", message.to_owned()));
        }
        match statement {
            Statement::Empty => self.reply.empty_query_response(),
            Statement::Begin { read_only } => {
                self.begin(read_only)?;
                self.reply.command_complete("BEGIN");
            }
            Statement::Commit if self.status == TransactionStatus::Error => {
                self.end_transaction();
                self.reply.command_complete("ROLLBACK");
            }
            Statement::Commit => {
                self.commit()?;
                self.reply.command_complete("COMMIT");
            }
            Statement::Rollback => {
                self.end_transaction();
                self.reply.command_complete("ROLLBACK");
            }
            Statement::Ignored(tag) => self.reply.command_complete(tag),
            Statement::SetNonce(nonce) => {
                self.nonce = nonce;
                self.reply.command_complete("SET");
            }
            Statement::ShowNonce => {
                let columns = [Column { name: "cactushatch.nonce".to_owned(), type_oid: TEXT }];
                if with_description {
                    self.reply.row_description(&columns, formats);
                }
                self.reply.data_row(&columns, &[Value::Text(self.nonce.clone())], formats);
                self.reply.command_complete("SHOW");
            }
            Statement::Status => self.reply_with_status(text, formats, with_description),
            Statement::Promote(term) => {
                self.instance.promote(term).map_err(|message| ("55000", message))?;
                self.reply_with_status(text, formats, with_description);
            }
            Statement::Follow(primary, term) => {
                let result = self.instance.follow(primary, term);
                result.map_err(|message| ("55000", message))?;
                self.generation = self.instance.journal.log.lock().unwrap().generation;
                self.reply_with_status(text, formats, with_description);
            }
            Statement::Demote(term) => {
                self.instance.demote(term).map_err(|message| ("55000", message))?;
                self.reply_with_status(text, formats, with_description);
            }
            Statement::Plain(text) => self.execute(&text, parameters, formats, with_description)?,
        }
        Ok(())
    }

    fn reply_with_status(&mut self, text: &str, formats: &[i16], with_description: bool) {
        let nonce = sql::nonce(text);
        let columns = status_columns(nonce.is_some());
        if with_description {
            self.reply.row_description(&columns, formats);
        }
        self.instance.counters.record_status();
        let mut row = self.instance.status();
        row.extend(nonce.map(|nonce| Value::Text(nonce.to_owned())));
        self.reply.data_row(&columns, &row, formats);
        self.reply.command_complete("SELECT 1");
    }

    pub(super) fn begin(&mut self, read_only: bool) -> Result<(), SqlError> {
        if self.status != TransactionStatus::Idle {
            return Ok(());
        }
        let primary = self.instance.journal.log.lock().unwrap().role == Role::Primary;
        if primary && !read_only {
            self.instance.acquire_writer();
            self.holds_writer = true;
            self.database.execute_batch("BEGIN IMMEDIATE").map_err(sqlite_error)?;
        } else {
            self.database.execute_batch("BEGIN").map_err(sqlite_error)?;
        }
        self.status = TransactionStatus::Transaction;
        Ok(())
    }

    pub(super) fn commit(&mut self) -> Result<(), SqlError> {
        if self.status == TransactionStatus::Idle {
            return Ok(());
        }
        let pending_statements = std::mem::take(&mut self.pending_statements);
        let wrote = !pending_statements.is_empty();
        let committed = if pending_statements.is_empty() {
            self.database.execute_batch("COMMIT").map(|()| true)
        } else {
            let commit = || self.database.execute_batch("COMMIT");
            self.instance.journal.commit(pending_statements, commit)
        };
        let result = match committed {
            Ok(true) => {
                self.answer_lost = wrote && self.instance.faults.take_lost_commit();
                Ok(())
            }
            Ok(false) => Err(("25006", "this instance is no longer the primary".to_owned())),
            Err(error) => Err(sqlite_error(error)),
        };
        self.end_transaction();
        result
    }

    /// Ends the transaction with a rollback if it is still open, and releases the write lock.
    pub(super) fn end_transaction(&mut self) {
        if !self.database.is_autocommit() {
            let _ = self.database.execute_batch("ROLLBACK");
        }
        self.pending_statements.clear();
        self.status = TransactionStatus::Idle;
        if std::mem::take(&mut self.holds_writer) {
            self.instance.release_writer();
        }
    }
}
