//! `once` requests: the key and the digest of a request are written to the database in the same transaction as its
//! effect, so that a resend finds the first outcome through any proxy. See `docs/DESIGN.md`, "Once".

use std::time::Duration;

use bytes::BytesMut;
use pgwire::messages::Message as _;
use pgwire::messages::response::NoticeResponse;
use postgres_protocol::message::frontend;

use super::write::{READ_ONLY, unknown_outcome};
use super::{
    Caller, Effect, OpenTransaction, Progress, Query, Request, RequestError, Transaction,
    write_complete,
};
use crate::clock::Clock;
use crate::id;
use crate::pgsql::{self, Row};
use crate::proxy::outcome::{Outcome, Reason, write_error};
use crate::proxy::pool::PooledConnection;
use crate::proxy::record::{self, Record};
use crate::proxy::relay::{Completion, relay};
use crate::upstream::status::{Statement, Status};

/// The result of one attempt.
enum Attempt {
    /// The caller was answered.
    Answered,
    /// The connection was lost or the epoch was replaced. On the next attempt the key shows whether the request ran.
    Retry,
    /// The table of keys doesn't exist.
    KeyTableMissing,
}

/// The result of the `INSERT` of the key, which precedes the statement of the request.
enum KeyInsertion {
    /// The key is new. Holds the result of the request's statement.
    Inserted(Completion),
    /// The key exists already.
    Duplicate,
    /// The `INSERT` or the creation of the table failed. Holds the SQLSTATE and the message.
    Failed(String, String),
}

impl Caller {
    /// Runs a `once` request in its own transaction, and retries until its outcome is known or the retry budget is
    /// used up.
    pub(super) async fn run_once(&mut self, request: &Request) -> Result<(), RequestError> {
        match self.try_until_known(request).await {
            // An earlier attempt may have been committed, so the request can't be reported as not run.
            Err(RequestError::Outcome(Outcome::NotRun { reason, .. }))
                if self.may_be_committed() =>
            {
                Err(unknown_outcome(reason))
            }
            result => result,
        }
    }

    async fn try_until_known(&mut self, request: &Request) -> Result<(), RequestError> {
        let record = self.key_record(request)?;
        let mut created = false;
        loop {
            let (pooled, epoch) = self.acquire_primary(request).await?;
            match self.try_once(request, &record, pooled, epoch.term).await? {
                Attempt::Answered => return Ok(()),
                Attempt::KeyTableMissing if !std::mem::replace(&mut created, true) => {
                    self.shared.set_key_table_missing(&self.group);
                }
                _ if self.shared.budget.try_withdraw() => {}
                _ => return Err(unknown_outcome(Reason::ConnectionLost)),
            }
        }
    }

    /// Returns the row for the key of the request.
    fn key_record(&self, request: &Request) -> Result<Record, RequestError> {
        let key = request.summary.tags.key.clone().ok_or(Outcome::KeyMissing)?;
        if request.summary.executes != 1 {
            return Err(Outcome::Unsupported("a once request is one statement").into());
        }
        let digest = self.digest(&request.query);
        let digest = digest.map_err(|_| Outcome::Unsupported("a batch that can't be read"))?;
        let expires = record::expiry(request.key_retention);
        let tag = request.query.guess_tag();
        Ok(Record { account: self.account.clone(), key, digest, tag, expires })
    }

    fn may_be_committed(&self) -> bool {
        self.progress == Progress::Sent(Effect::Possible)
    }

    /// Records that the request was sent, unless an earlier attempt may have been committed.
    fn record_sent(&mut self, effect: Effect) {
        if !self.may_be_committed() {
            self.progress = Progress::Sent(effect);
        }
    }

    async fn try_once(
        &mut self,
        request: &Request,
        record: &Record,
        mut pooled: PooledConnection,
        term: id::Term,
    ) -> Result<Attempt, RequestError> {
        pooled.running = true;
        if let Some(target) = pooled.target() {
            self.cancel_entry.start(target);
        }
        let insertion = self.begin_once(request, record, &mut pooled).await;
        pooled.must_close |= self.cancel_entry.finish();
        let Ok(insertion) = insertion else {
            pooled.recheck_idle();
            return Ok(Attempt::Retry);
        };
        match insertion {
            KeyInsertion::Inserted(completion) if completion.failed => {
                if pooled.roll_back().await.is_err() {
                    return Ok(Attempt::Retry);
                }
                self.writer.out.extend_from_slice(&completion.held);
                Ok(Attempt::Answered)
            }
            KeyInsertion::Inserted(completion) if completion.has_rows => {
                match pooled.roll_back().await {
                    Ok(()) => Err(Outcome::Unsupported("a once request can't return rows").into()),
                    Err(_) => Ok(Attempt::Retry),
                }
            }
            KeyInsertion::Inserted(completion) => {
                self.commit_once(record, pooled, &completion, term).await
            }
            KeyInsertion::Duplicate => match pooled.roll_back().await {
                Ok(()) => self.replay(request, record, pooled, term).await,
                Err(_) => Ok(Attempt::Retry),
            },
            KeyInsertion::Failed(code, message) => {
                if pooled.roll_back().await.is_err() {
                    return Ok(Attempt::Retry);
                }
                if code == READ_ONLY {
                    pooled.release();
                    self.wait_for_successor(request.arrived_at).await?;
                    return Ok(Attempt::Retry);
                }
                if self.shared.has_key_table(&self.group) {
                    return Ok(Attempt::KeyTableMissing);
                }
                if self.may_be_committed() {
                    // The key could not be looked up, so this error says nothing of an earlier attempt.
                    return Err(unknown_outcome(Reason::ConnectionLost));
                }
                write_error("ERROR", &code, &message, "", &mut self.writer.out);
                Ok(Attempt::Answered)
            }
        }
    }

    /// Sends `BEGIN`, the `INSERT` of the key and the request's statement together. Creates the table of keys first
    /// if it is not known to exist.
    async fn begin_once(
        &mut self,
        request: &Request,
        record: &Record,
        pooled: &mut PooledConnection,
    ) -> Result<KeyInsertion, pgsql::Error> {
        if !self.shared.has_key_table(&self.group) {
            let mut create = BytesMut::new();
            frontend::query(record::CREATE_TABLE, &mut create)?;
            pooled.connection().client.send(&create).await?;
            let created = pooled.connection().client.receive_rows().await;
            if let Err(pgsql::Error::Server { code, message }) = created {
                return Ok(KeyInsertion::Failed(code, message));
            }
            created?;
        }
        let mut bytes = BytesMut::new();
        frontend::query("BEGIN", &mut bytes)?;
        frontend::query(&record.insert(), &mut bytes)?;
        let exchange = self.build_exchange(&request.query, pooled);
        let mut exchange = exchange.map_err(|_| pgsql::Error::Protocol("malformed batch"))?;
        bytes.extend_from_slice(&exchange.bytes);
        exchange.hold_all = true;
        self.record_sent(Effect::RolledBack);
        let connection = pooled.connection();
        connection.client.send(&bytes).await?;
        connection.client.receive_rows().await?;
        let inserted = connection.client.receive_rows().await;
        if let Err(error) = &inserted
            && !matches!(error, pgsql::Error::Server { .. })
        {
            return Err(pgsql::Error::Protocol("the connection was lost"));
        }
        let completion =
            relay(&self.shared.clock, connection, &mut exchange, &mut self.writer).await;
        let completion =
            completion.map_err(|_| pgsql::Error::Protocol("the connection was lost"))?;
        match inserted {
            Err(pgsql::Error::Server { code, .. }) if code == record::UNIQUE_VIOLATION => {
                Ok(KeyInsertion::Duplicate)
            }
            Err(pgsql::Error::Server { code, message }) => Ok(KeyInsertion::Failed(code, message)),
            _ => Ok(KeyInsertion::Inserted(completion)),
        }
    }

    /// Commits the transaction, and writes the answer once the write is durable and the fence allows it.
    async fn commit_once(
        &mut self,
        record: &Record,
        mut pooled: PooledConnection,
        completion: &Completion,
        term: id::Term,
    ) -> Result<Attempt, RequestError> {
        let commit = if completion.command_tag == record.tag {
            "COMMIT".to_owned()
        } else {
            format!("{}; COMMIT", record.update(&completion.command_tag))
        };
        self.record_sent(Effect::Possible);
        let sent_at = self.shared.clock.now();
        let committed = pooled.run_with_status(&commit).await;
        match committed {
            Ok(status) => {
                pooled.running = false;
                pooled.release();
                self.shared.set_key_table_present(&self.group);
                if self.wait_for_durability(status, sent_at, term).await.is_err() {
                    return Ok(Attempt::Retry);
                }
                self.writer.out.extend_from_slice(&completion.held);
                Ok(Attempt::Answered)
            }
            Err(pgsql::Error::Server { code, message }) => {
                write_error("ERROR", &code, &message, "", &mut self.writer.out);
                Ok(Attempt::Answered)
            }
            Err(_) => Ok(Attempt::Retry),
        }
    }

    /// Answers with the first outcome of the key, once that outcome may be acknowledged.
    async fn replay(
        &mut self,
        request: &Request,
        record: &Record,
        mut pooled: PooledConnection,
        term: id::Term,
    ) -> Result<Attempt, RequestError> {
        pooled.running = true;
        let clock = self.shared.clock.clone();
        let sent_at = clock.now();
        let time_left = request.deadline.since(sent_at);
        let connection = pooled.connection();
        let found = connection.client.query(&clock, &record.select(), time_left).await;
        let status = connection.status(&clock, time_left).await;
        let (Ok(rows), Ok(status)) = (found, status) else {
            return Ok(Attempt::Retry);
        };
        pooled.running = false;
        pooled.release();
        let Some(tag) = recorded_tag(rows, record)? else {
            return Ok(Attempt::Retry);
        };
        if self.wait_for_durability(status, sent_at, term).await.is_err() {
            return Ok(Attempt::Retry);
        }
        self.write_replayed_answer(request, &tag);
        Ok(Attempt::Answered)
    }

    /// Writes the recorded outcome, preceded by a notice that marks it as a replay.
    fn write_replayed_answer(&mut self, request: &Request, tag: &str) {
        let fields = vec![
            (b'S', "NOTICE".to_owned()),
            (b'V', "NOTICE".to_owned()),
            (b'C', "00000".to_owned()),
            (b'M', "this request ran before; its first outcome is repeated".to_owned()),
            (b'D', "outcome=done replayed=true".to_owned()),
        ];
        let out = &mut self.writer.out;
        NoticeResponse::new(fields).encode(out).expect("the notice can be encoded");
        match &request.query {
            Query::Extended(batch) => batch.write_local_answer(tag, out),
            Query::Simple(_) => write_complete(tag, out),
        }
    }

    /// Runs a `once` request in the caller's transaction, which commits the key as well.
    pub(super) async fn run_once_in_transaction(
        &mut self,
        request: &Request,
    ) -> Result<(), RequestError> {
        let record = self.key_record(request)?;
        let Transaction::Open(mut transaction) =
            std::mem::replace(&mut self.transaction, Transaction::Lost)
        else {
            return Ok(());
        };
        self.record_sent(Effect::RolledBack);
        let connection_lost = |_| -> RequestError {
            Outcome::Unknown { reason: Reason::ConnectionLost, effect: Effect::RolledBack }.into()
        };
        let time_left = request.deadline.since(self.shared.clock.now());
        let clock = self.shared.clock.clone();
        transaction.pooled.running = true;
        let pooled = &mut transaction.pooled;
        if !self.shared.has_key_table(&self.group) {
            pooled
                .query_tied(&clock, record::CREATE_TABLE, time_left)
                .await
                .map_err(connection_lost)?;
        }
        let inserted = pooled
            .query_tied(&clock, &record.insert_if_absent(), time_left)
            .await
            .map_err(connection_lost)?;
        if inserted.is_empty() {
            let rows = pooled
                .query_tied(&clock, &record.select(), time_left)
                .await
                .map_err(connection_lost)?;
            transaction.pooled.running = false;
            let tag = recorded_tag(rows, &record)?.ok_or(Outcome::Aborted)?;
            self.transaction = Transaction::Open(transaction);
            self.write_replayed_answer(request, &tag);
            return Ok(());
        }
        transaction.pooled.running = false;
        let tag = self.run_in_transaction(request, *transaction).await?;
        self.correct_tag(&record, &tag, request).await.map_err(connection_lost)
    }

    /// Updates the recorded command tag if the guess that was written with the key is wrong.
    async fn correct_tag(
        &mut self,
        record: &Record,
        tag: &str,
        request: &Request,
    ) -> Result<(), pgsql::Error> {
        if self.transaction_failed || tag == record.tag {
            return Ok(());
        }
        let Transaction::Open(transaction) = &mut self.transaction else {
            return Ok(());
        };
        let time_left = request.deadline.since(self.shared.clock.now());
        let OpenTransaction { pooled, .. } = &mut **transaction;
        pooled.query_tied(&self.shared.clock, &record.update(tag), time_left).await.map(|_| ())
    }
}

/// Returns the command tag of the first outcome, if one is recorded.
///
/// # Errors
///
/// Fails if the key was used for another request.
fn recorded_tag(rows: Vec<Row>, record: &Record) -> Result<Option<String>, RequestError> {
    let Some(row) = rows.into_iter().next() else {
        return Ok(None);
    };
    let mut columns = row.into_iter().flatten();
    let digest = columns.next().unwrap_or_default();
    if digest != record.digest {
        return Err(Outcome::KeyReused.into());
    }
    Ok(columns.next())
}

impl Query {
    /// Guesses the command tag of a query. The guess is right if the query changes one row.
    fn guess_tag(&self) -> String {
        let word = match self {
            Self::Simple(message) => first_word(&message.body),
            Self::Extended(batch) => {
                batch.statement_text().map_or_else(String::new, |text| first_word(&text))
            }
        };
        match word.as_str() {
            "UPDATE" | "DELETE" => format!("{word} 1"),
            _ => "INSERT 0 1".to_owned(),
        }
    }
}

fn first_word(text: &[u8]) -> String {
    let text = String::from_utf8_lossy(text);
    text.split_whitespace().next().unwrap_or("").to_ascii_uppercase()
}

impl PooledConnection {
    /// Rolls the open transaction back. Succeeds only if the database confirms the rollback.
    async fn roll_back(&mut self) -> Result<(), pgsql::Error> {
        self.run_with_status("ROLLBACK").await?;
        self.running = false;
        Ok(())
    }

    /// Runs a simple query and returns its rows, once it is certain that they are not those of another one.
    async fn query_tied(
        &mut self,
        clock: &Clock,
        sql: &str,
        timeout: Duration,
    ) -> Result<Vec<Row>, pgsql::Error> {
        let result = self.connection().client.query_tied(clock, sql, timeout).await;
        result.inspect_err(|error| self.report("once", error))
    }

    /// Runs statements and returns the status of the instance after them.
    async fn run_with_status(&mut self, sql: &str) -> Result<Status, pgsql::Error> {
        let result = self.exchange_with_status(sql).await;
        result.inspect_err(|error| self.report("once", error))
    }

    async fn exchange_with_status(&mut self, sql: &str) -> Result<Status, pgsql::Error> {
        let mut out = BytesMut::new();
        frontend::query(sql, &mut out)?;
        let client = &mut self.connection().client;
        let nonce = client.next_nonce();
        frontend::query(&Statement::query().sql(nonce), &mut out)?;
        client.send(&out).await?;
        let answer = client.receive_rows().await;
        if !matches!(answer, Ok(_) | Err(pgsql::Error::Server { .. })) {
            return Err(pgsql::Error::OutOfStep);
        }
        let status = Statement::decode(client.receive_rows().await?, nonce)?;
        answer.map(|_| status)
    }
}
