//! The instance as its clients see it.

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

use super::codec::{Client, First, decode, read_message, start};
use super::execute::{no_statement, refusal};
use super::instance::{Instance, status_columns};
use super::reply::{Column, Reply, TEXT, columns};
use super::sql::{self, Statement};

/// How long a transaction may wait for its client.
const IDLE_IN_TRANSACTION: Duration = Duration::from_secs(2);

/// How often a connection that is cut looks whether it still is.
const LOOK: Duration = Duration::from_millis(5);

/// Takes connections until the process ends.
pub fn listen(instance: &Arc<Instance>) -> anyhow::Result<()> {
    let listener = TcpListener::bind(instance.settings.listen)?;
    for socket in listener.incoming() {
        let socket = socket?;
        let instance = Arc::clone(instance);
        std::thread::spawn(move || {
            instance.counters.note_connection();
            let open = instance.open.fetch_add(1, Ordering::SeqCst);
            if let Err(error) = Session::serve(&instance, socket, open) {
                log::debug!("a connection ended: {error}");
            }
            instance.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
    Ok(())
}

#[derive(Debug, Clone)]
struct Prepared {
    text: String,
    types: Vec<u32>,
}

#[derive(Debug, Clone)]
struct Portal {
    text: String,
    parameters: Vec<Value>,
    formats: Vec<i16>,
}

pub struct Session<'a> {
    pub(super) instance: &'a Instance,
    pub(super) database: Connection,
    generation: u64,
    domain: String,
    process: i32,
    /// Whether the connection ends without the answer.
    lost: bool,
    /// The write statements of the open transaction.
    pub(super) pending: Vec<String>,
    pub(super) status: TransactionStatus,
    has_writer: bool,
    prepared: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    pub(super) reply: Reply,
}

/// An error for the client: SQLSTATE and message.
pub type Refusal = (&'static str, String);

impl<'a> Session<'a> {
    fn serve(instance: &'a Instance, mut socket: TcpStream, open: usize) -> anyhow::Result<()> {
        socket.set_nodelay(true)?;
        let mut reader = BufReader::new(socket.try_clone()?);
        let Client { domain, reserved } = match start(&mut reader, &mut socket)? {
            First::Client(client) => client,
            First::Cancel(process) => {
                if let Some(interrupt) = instance.interrupts.lock().unwrap().get(&process) {
                    interrupt.interrupt();
                }
                return Ok(());
            }
        };
        let mut reply = Reply::default();
        if open >= instance.settings.connections && !reserved {
            reply.error("53300", "sorry, too many clients already");
            socket.write_all(&reply.out)?;
            return Ok(());
        }
        std::thread::sleep(instance.settings.connect_time);
        while instance.faults.is_cut(&domain) {
            std::thread::sleep(LOOK);
        }
        let process = instance.processes.fetch_add(1, Ordering::SeqCst);
        reply.welcome(process, process);
        reply.ready(TransactionStatus::Idle);
        socket.write_all(&reply.out)?;
        reply.out.clear();
        let generation = instance.journal.log.lock().unwrap().generation;
        let mut session = Session {
            instance,
            database: instance.journal.connect()?,
            generation,
            domain,
            process,
            lost: false,
            pending: Vec::new(),
            status: TransactionStatus::Idle,
            has_writer: false,
            prepared: HashMap::new(),
            portals: HashMap::new(),
            reply,
        };
        let interrupt = session.database.get_interrupt_handle();
        instance.interrupts.lock().unwrap().insert(process, interrupt);
        let result = session.run(&mut reader, &mut socket);
        instance.interrupts.lock().unwrap().remove(&process);
        session.end_transaction();
        result
    }

    fn run(&mut self, reader: &mut impl Read, socket: &mut TcpStream) -> anyhow::Result<()> {
        let mut skipping = false;
        loop {
            // A transaction whose client went away must not hold the writer for ever.
            socket.set_read_timeout(self.has_writer.then_some(IDLE_IN_TRANSACTION))?;
            let Some(message) = read_message(reader)? else {
                return Ok(());
            };
            self.wait_while_cut()?;
            let flush = matches!(
                message,
                PgWireFrontendMessage::Query(_)
                    | PgWireFrontendMessage::Sync(_)
                    | PgWireFrontendMessage::Flush(_)
            );
            if matches!(message, PgWireFrontendMessage::Terminate(_)) {
                return Ok(());
            }
            if matches!(message, PgWireFrontendMessage::Sync(_)) {
                skipping = false;
            }
            if !skipping && let Err((code, text)) = self.handle(message) {
                self.fail(code, &text);
                skipping = true;
            }
            if self.lost {
                anyhow::bail!("the answer is lost on command");
            }
            if flush {
                self.flush(socket)?;
            }
        }
    }

    fn flush(&mut self, socket: &mut TcpStream) -> anyhow::Result<()> {
        std::thread::sleep(self.instance.faults.late());
        self.wait_while_cut()?;
        if self.instance.journal.log.lock().unwrap().generation != self.generation {
            anyhow::bail!("the instance changed its role");
        }
        socket.write_all(&self.reply.out)?;
        self.reply.out.clear();
        Ok(())
    }

    /// Waits until messages pass again. An open transaction does not outlive a long cut.
    fn wait_while_cut(&self) -> anyhow::Result<()> {
        let start = Instant::now();
        let faults = &self.instance.faults;
        while faults.is_cut(&self.domain) || faults.is_half_open(self.process) {
            if self.has_writer && start.elapsed() > IDLE_IN_TRANSACTION {
                anyhow::bail!("a transaction was idle for too long");
            }
            std::thread::sleep(LOOK);
        }
        Ok(())
    }

    fn handle(&mut self, message: PgWireFrontendMessage) -> Result<(), Refusal> {
        match message {
            PgWireFrontendMessage::Query(query) => {
                self.simple(&query.query);
                Ok(())
            }
            PgWireFrontendMessage::Parse(parse) => {
                let mut types = sql::parameter_types(&parse.query);
                for (at, oid) in parse.type_oids.iter().enumerate() {
                    if *oid != 0 && at < types.len() {
                        types[at] = *oid;
                    }
                }
                let name = parse.name.unwrap_or_default();
                self.prepared.insert(name, Prepared { text: parse.query, types });
                self.reply.parsed();
                Ok(())
            }
            PgWireFrontendMessage::Bind(bind) => {
                let statement = bind.statement_name.unwrap_or_default();
                let prepared =
                    self.prepared.get(&statement).ok_or_else(|| no_statement(&statement))?;
                let mut parameters = Vec::new();
                for (at, bytes) in bind.parameters.iter().enumerate() {
                    let binary = match bind.parameter_format_codes.as_slice() {
                        [] => false,
                        [one] => *one == 1,
                        many => many.get(at) == Some(&1),
                    };
                    let kind = prepared.types.get(at).copied().unwrap_or(TEXT);
                    parameters.push(decode(bytes.as_deref(), kind, binary));
                }
                let portal = Portal {
                    text: prepared.text.clone(),
                    parameters,
                    formats: bind.result_column_format_codes,
                };
                self.portals.insert(bind.portal_name.unwrap_or_default(), portal);
                self.reply.bound();
                Ok(())
            }
            PgWireFrontendMessage::Describe(describe) => {
                self.describe(describe.target_type, &describe.name.unwrap_or_default())
            }
            PgWireFrontendMessage::Execute(execute) => {
                let name = execute.name.unwrap_or_default();
                let portal = self.portals.get(&name).cloned();
                let portal = portal.ok_or(("34000", format!("portal {name:?} does not exist")))?;
                self.statement(&portal.text, &portal.parameters, &portal.formats, false)
            }
            PgWireFrontendMessage::Close(close) => {
                let name = close.name.unwrap_or_default();
                if close.target_type == b'S' {
                    self.prepared.remove(&name);
                } else {
                    self.portals.remove(&name);
                }
                self.reply.closed();
                Ok(())
            }
            PgWireFrontendMessage::Sync(_) => {
                self.portals.clear();
                self.reply.ready(self.status);
                Ok(())
            }
            PgWireFrontendMessage::Flush(_) => Ok(()),
            _ => Err(("0A000", "the stand-in does not know this message".to_owned())),
        }
    }

    fn simple(&mut self, text: &str) {
        let statements = sql::split(text);
        let mut implicit = statements.len() > 1 && self.status == TransactionStatus::Idle;
        if statements.is_empty() {
            self.reply.empty();
        }
        let mut result = Ok(());
        if implicit {
            result = self.begin(false);
        }
        for statement in statements {
            // As on a server, a BEGIN makes the query's own transaction one that outlives the query.
            implicit &= !matches!(sql::parse(statement), Statement::Begin { .. });
            if result.is_ok() {
                result = self.statement(statement, &[], &[], true);
            }
        }
        if implicit && result.is_ok() && self.status == TransactionStatus::Transaction {
            result = self.commit();
        }
        if let Err((code, message)) = result {
            self.fail(code, &message);
            if implicit {
                self.end_transaction();
            }
        }
        self.reply.ready(self.status);
    }

    fn fail(&mut self, code: &str, message: &str) {
        self.reply.error(code, message);
        if self.status == TransactionStatus::Transaction {
            self.status = TransactionStatus::Error;
        }
    }

    fn describe(&mut self, target: u8, name: &str) -> Result<(), Refusal> {
        if target == b'S' {
            let prepared = self.prepared.get(name).cloned().ok_or_else(|| no_statement(name))?;
            self.reply.parameters(&prepared.types);
            let columns = self.columns_of(&prepared.text)?;
            self.reply.columns(&columns, &[]);
        } else {
            let portal = self.portals.get(name).cloned();
            let portal = portal.ok_or(("34000", format!("portal {name:?} does not exist")))?;
            let columns = self.columns_of(&portal.text)?;
            self.reply.columns(&columns, &portal.formats);
        }
        Ok(())
    }

    fn columns_of(&self, text: &str) -> Result<Vec<Column>, Refusal> {
        match sql::parse(text) {
            Statement::Status
            | Statement::Promote(_)
            | Statement::Follow(..)
            | Statement::Demote(_) => Ok(status_columns()),
            Statement::Plain(text) => {
                let statement = self.database.prepare(&text).map_err(refusal)?;
                Ok(columns(&statement))
            }
            _ => Ok(Vec::new()),
        }
    }

    fn statement(
        &mut self,
        text: &str,
        parameters: &[Value],
        formats: &[i16],
        describe: bool,
    ) -> Result<(), Refusal> {
        let statement = sql::parse(text);
        let ends = matches!(statement, Statement::Commit | Statement::Rollback);
        if self.status == TransactionStatus::Error && !ends {
            let message = "current transaction is aborted, commands ignored until end of block";
            return Err(("25P02", message.to_owned()));
        }
        match statement {
            Statement::Empty => self.reply.empty(),
            Statement::Begin { read_only } => {
                self.begin(read_only)?;
                self.reply.complete("BEGIN");
            }
            Statement::Commit if self.status == TransactionStatus::Error => {
                self.end_transaction();
                self.reply.complete("ROLLBACK");
            }
            Statement::Commit => {
                self.commit()?;
                self.reply.complete("COMMIT");
            }
            Statement::Rollback => {
                self.end_transaction();
                self.reply.complete("ROLLBACK");
            }
            Statement::Ignored(tag) => self.reply.complete(tag),
            Statement::Status => self.answer_status(formats, describe),
            Statement::Promote(term) => {
                self.instance.promote(term).map_err(|message| ("55000", message))?;
                self.answer_status(formats, describe);
            }
            Statement::Follow(primary, term) => {
                let followed = self.instance.follow(primary, term);
                followed.map_err(|message| ("55000", message))?;
                self.generation = self.instance.journal.log.lock().unwrap().generation;
                self.answer_status(formats, describe);
            }
            Statement::Demote(term) => {
                self.instance.demote(term).map_err(|message| ("55000", message))?;
                self.answer_status(formats, describe);
            }
            Statement::Plain(text) => self.plain(&text, parameters, formats, describe)?,
        }
        Ok(())
    }

    fn answer_status(&mut self, formats: &[i16], describe: bool) {
        let columns = status_columns();
        if describe {
            self.reply.columns(&columns, formats);
        }
        self.instance.counters.note_status();
        let row = self.instance.status();
        self.reply.row(&columns, &row, formats);
        self.reply.complete("SELECT 1");
    }

    pub(super) fn begin(&mut self, read_only: bool) -> Result<(), Refusal> {
        if self.status != TransactionStatus::Idle {
            return Ok(());
        }
        let primary = self.instance.journal.log.lock().unwrap().role == Role::Primary;
        if primary && !read_only {
            self.instance.acquire_writer();
            self.has_writer = true;
            self.database.execute_batch("BEGIN IMMEDIATE").map_err(refusal)?;
        } else {
            self.database.execute_batch("BEGIN").map_err(refusal)?;
        }
        self.status = TransactionStatus::Transaction;
        Ok(())
    }

    pub(super) fn commit(&mut self) -> Result<(), Refusal> {
        if self.status == TransactionStatus::Idle {
            return Ok(());
        }
        let pending = std::mem::take(&mut self.pending);
        let wrote = !pending.is_empty();
        let committed = if pending.is_empty() {
            self.database.execute_batch("COMMIT").map(|()| true)
        } else {
            let commit = || self.database.execute_batch("COMMIT");
            self.instance.journal.commit(pending, commit)
        };
        let result = match committed {
            Ok(true) => {
                self.lost = wrote && self.instance.faults.lose_commit();
                Ok(())
            }
            Ok(false) => Err(("25006", "this instance is no longer the primary".to_owned())),
            Err(error) => Err(refusal(error)),
        };
        self.end_transaction();
        result
    }

    /// Ends the transaction, rolling back what was not committed.
    pub(super) fn end_transaction(&mut self) {
        if !self.database.is_autocommit() {
            let _ = self.database.execute_batch("ROLLBACK");
        }
        self.pending.clear();
        self.status = TransactionStatus::Idle;
        if std::mem::take(&mut self.has_writer) {
            self.instance.release_writer();
        }
    }
}
