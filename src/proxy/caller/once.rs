//! `once` requests: the key and the digest go into the database in the transaction of the effect, so that a resend
//! finds the first outcome, whichever proxy it comes by. See `docs/DESIGN.md`, "Once".

use bytes::BytesMut;
use pgwire::messages::Message as _;
use pgwire::messages::response::NoticeResponse;
use postgres_protocol::message::frontend;

use super::write::{READ_ONLY, unknown};
use super::{Asked, Caller, Effect, Open, Progress, Request, Stop, Transaction, write_complete};
use crate::id;
use crate::pgsql::{self, Row};
use crate::proxy::outcome::{Outcome, Reason, write_error};
use crate::proxy::pool::PooledConnection;
use crate::proxy::record::{self, Record};
use crate::proxy::relay::{Completion, relay};
use crate::upstream::status::{STATUS_QUERY, Status};

/// What came of one attempt.
enum Tried {
    /// The caller was answered.
    Answered,
    /// The connection was lost or the epoch replaced; the key tells on the next attempt whether it ran.
    Again,
    /// The table of keys is missing.
    NoTable,
}

/// What the statements before the request's own came to.
enum Begun {
    /// The key was not there.
    Fresh(Completion),
    /// The key was there.
    Known,
    /// They failed otherwise.
    Failed(String, String),
}

impl Caller {
    /// Runs a `once` request in a transaction of its own.
    pub(super) async fn once(&mut self, request: &Request) -> Result<(), Stop> {
        let record = self.record(request)?;
        let mut created = false;
        loop {
            let (loan, epoch) = match self.primary(request).await {
                Ok(found) => found,
                // An earlier attempt may have been committed.
                Err(Stop::Outcome(Outcome::NotRun { reason, .. })) if self.is_possible() => {
                    return Err(unknown(reason));
                }
                Err(stop) => return Err(stop),
            };
            match self.try_once(request, &record, loan, epoch.term).await? {
                Tried::Answered => return Ok(()),
                Tried::NoTable if !std::mem::replace(&mut created, true) => {
                    self.shared.set_key_table_missing(&self.group);
                }
                _ if self.shared.budget.try_withdraw() => {}
                _ => return Err(unknown(Reason::ConnectionLost)),
            }
        }
    }

    fn record(&self, request: &Request) -> Result<Record, Stop> {
        let key = request.summary.tags.key.clone().ok_or(Outcome::KeyMissing)?;
        if request.summary.executes != 1 {
            return Err(Outcome::Unsupported("a once request is one statement").into());
        }
        let digest = self.digest(&request.asked);
        let digest = digest.map_err(|_| Outcome::Unsupported("a batch that can't be read"))?;
        let expires = record::expiry(request.keep);
        let tag = request.asked.guess();
        Ok(Record { customer: self.customer.clone(), key, digest, tag, expires })
    }

    fn is_possible(&self) -> bool {
        self.progress == Progress::Sent(Effect::Possible)
    }

    /// Notes that something was sent, unless something was before that may have been committed.
    fn sent(&mut self, effect: Effect) {
        if !self.is_possible() {
            self.progress = Progress::Sent(effect);
        }
    }

    async fn try_once(
        &mut self,
        request: &Request,
        record: &Record,
        mut loan: PooledConnection,
        term: id::Term,
    ) -> Result<Tried, Stop> {
        loan.running = true;
        if let Some(target) = loan.target() {
            self.entry.start(target);
        }
        let begun = self.begin_once(request, record, &mut loan).await;
        loan.must_close |= self.entry.finish();
        let Ok(begun) = begun else {
            loan.recheck_idle();
            return Ok(Tried::Again);
        };
        match begun {
            Begun::Fresh(finish) if finish.failed => {
                if loan.roll_back().await.is_err() {
                    return Ok(Tried::Again);
                }
                self.writer.out.extend_from_slice(&finish.held);
                Ok(Tried::Answered)
            }
            Begun::Fresh(finish) if finish.has_rows => match loan.roll_back().await {
                Ok(()) => Err(Outcome::Unsupported("a once request can't return rows").into()),
                Err(_) => Ok(Tried::Again),
            },
            Begun::Fresh(finish) => self.commit_once(record, loan, &finish, term).await,
            Begun::Known => match loan.roll_back().await {
                Ok(()) => self.replay(request, record, loan, term).await,
                Err(_) => Ok(Tried::Again),
            },
            Begun::Failed(code, message) => {
                if loan.roll_back().await.is_err() {
                    return Ok(Tried::Again);
                }
                if code == READ_ONLY {
                    loan.release();
                    self.step_down(request.arrived).await?;
                    return Ok(Tried::Again);
                }
                if self.shared.has_key_table(&self.group) {
                    return Ok(Tried::NoTable);
                }
                write_error("ERROR", &code, &message, "", &mut self.writer.out);
                Ok(Tried::Answered)
            }
        }
    }

    /// Sends the beginning of the transaction, the key, and the request's own statement at once.
    async fn begin_once(
        &mut self,
        request: &Request,
        record: &Record,
        loan: &mut PooledConnection,
    ) -> Result<Begun, pgsql::Error> {
        if !self.shared.has_key_table(&self.group) {
            let mut create = BytesMut::new();
            frontend::query(record::CREATE_TABLE, &mut create)?;
            loan.connection().client.send(&create).await?;
            let created = loan.connection().client.receive_rows().await;
            if let Err(pgsql::Error::Server { code, message }) = created {
                return Ok(Begun::Failed(code, message));
            }
            created?;
        }
        let mut bytes = BytesMut::new();
        frontend::query("BEGIN", &mut bytes)?;
        frontend::query(&record.insert(), &mut bytes)?;
        let exchange = self.exchange(&request.asked, loan);
        let mut exchange = exchange.map_err(|_| pgsql::Error::Protocol("a malformed batch"))?;
        bytes.extend_from_slice(&exchange.bytes);
        exchange.hold_all = true;
        self.sent(Effect::RolledBack);
        let connection = loan.connection();
        connection.client.send(&bytes).await?;
        connection.client.receive_rows().await?;
        let inserted = connection.client.receive_rows().await;
        if let Err(error) = &inserted
            && !matches!(error, pgsql::Error::Server { .. })
        {
            return Err(pgsql::Error::Protocol("the connection was lost"));
        }
        let finish = relay(&self.shared.clock, connection, &mut exchange, &mut self.writer).await;
        let finish = finish.map_err(|_| pgsql::Error::Protocol("the connection was lost"))?;
        match inserted {
            Err(pgsql::Error::Server { code, .. }) if code == record::UNIQUE_VIOLATION => {
                Ok(Begun::Known)
            }
            Err(pgsql::Error::Server { code, message }) => Ok(Begun::Failed(code, message)),
            _ => Ok(Begun::Fresh(finish)),
        }
    }

    async fn commit_once(
        &mut self,
        record: &Record,
        mut loan: PooledConnection,
        finish: &Completion,
        term: id::Term,
    ) -> Result<Tried, Stop> {
        let commit = if finish.command_tag == record.tag {
            "COMMIT".to_owned()
        } else {
            format!("{}; COMMIT", record.update(&finish.command_tag))
        };
        self.sent(Effect::Possible);
        let at = self.shared.clock.now();
        let committed = loan.run(&commit).await;
        match committed {
            Ok(status) => {
                loan.running = false;
                loan.release();
                self.shared.set_key_table_present(&self.group);
                if self.release(status, at, term).await.is_err() {
                    return Ok(Tried::Again);
                }
                self.writer.out.extend_from_slice(&finish.held);
                Ok(Tried::Answered)
            }
            Err(pgsql::Error::Server { code, message }) => {
                write_error("ERROR", &code, &message, "", &mut self.writer.out);
                Ok(Tried::Answered)
            }
            Err(_) => Ok(Tried::Again),
        }
    }

    /// Answers with the first outcome of the key, once that may be acknowledged.
    async fn replay(
        &mut self,
        request: &Request,
        record: &Record,
        mut loan: PooledConnection,
        term: id::Term,
    ) -> Result<Tried, Stop> {
        loan.running = true;
        let clock = self.shared.clock.clone();
        let at = clock.now();
        let left = request.deadline.since(at);
        let connection = loan.connection();
        let found = connection.client.query(&clock, &record.select(), left).await;
        let status = connection.status(&clock, left).await;
        let (Ok(rows), Ok(status)) = (found, status) else {
            return Ok(Tried::Again);
        };
        loan.running = false;
        loan.release();
        let Some(tag) = first(rows, record)? else {
            return Ok(Tried::Again);
        };
        if self.release(status, at, term).await.is_err() {
            return Ok(Tried::Again);
        }
        self.answer_replayed(request, &tag);
        Ok(Tried::Answered)
    }

    fn answer_replayed(&mut self, request: &Request, tag: &str) {
        let fields = vec![
            (b'S', "NOTICE".to_owned()),
            (b'V', "NOTICE".to_owned()),
            (b'C', "00000".to_owned()),
            (b'M', "this request ran before; its first outcome is repeated".to_owned()),
            (b'D', "outcome=done replayed=true".to_owned()),
        ];
        let out = &mut self.writer.out;
        NoticeResponse::new(fields).encode(out).expect("a notice of ours can be encoded");
        match &request.asked {
            Asked::Batch(batch) => batch.write_local_answer(tag, out),
            Asked::Simple(_) => write_complete(tag, out),
        }
    }

    /// Runs a `once` request inside the caller's transaction; the key is committed with it.
    pub(super) async fn once_inside(&mut self, request: &Request) -> Result<(), Stop> {
        let record = self.record(request)?;
        let Open::Held(mut transaction) = std::mem::replace(&mut self.open, Open::Lost) else {
            return Ok(());
        };
        self.sent(Effect::RolledBack);
        let lost = |_| -> Stop {
            Outcome::Unknown { reason: Reason::ConnectionLost, effect: Effect::RolledBack }.into()
        };
        let left = request.deadline.since(self.shared.clock.now());
        let clock = self.shared.clock.clone();
        transaction.loan.running = true;
        let client = &mut transaction.loan.connection().client;
        if !self.shared.has_key_table(&self.group) {
            client.query(&clock, record::CREATE_TABLE, left).await.map_err(lost)?;
        }
        let inserted = client.query(&clock, &record.claim(), left).await.map_err(lost)?;
        if inserted.is_empty() {
            let rows = client.query(&clock, &record.select(), left).await.map_err(lost)?;
            transaction.loan.running = false;
            let tag = first(rows, &record)?.ok_or(Outcome::Aborted)?;
            self.open = Open::Held(transaction);
            self.answer_replayed(request, &tag);
            return Ok(());
        }
        transaction.loan.running = false;
        let tag = self.run_inside(request, *transaction).await?;
        self.note_tag(&record, &tag, request).await.map_err(lost)
    }

    /// Corrects the tag that was guessed when the key was written.
    async fn note_tag(
        &mut self,
        record: &Record,
        tag: &str,
        request: &Request,
    ) -> Result<(), pgsql::Error> {
        if self.failed || tag == record.tag {
            return Ok(());
        }
        let Open::Held(transaction) = &mut self.open else {
            return Ok(());
        };
        let left = request.deadline.since(self.shared.clock.now());
        let Transaction { loan, .. } = &mut **transaction;
        let client = &mut loan.connection().client;
        client.query(&self.shared.clock, &record.update(tag), left).await.map(|_| ())
    }
}

/// Returns the tag of the first outcome; refuses when the key came with another request.
fn first(rows: Vec<Row>, record: &Record) -> Result<Option<String>, Stop> {
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

impl Asked {
    /// Guesses the command tag of a request, which is right when it changes one row.
    fn guess(&self) -> String {
        let word = match self {
            Self::Simple(message) => first_word(&message.body),
            Self::Batch(batch) => {
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
    /// Rolls the open transaction back; the database proves it by its answer.
    async fn roll_back(&mut self) -> Result<(), pgsql::Error> {
        let mut out = BytesMut::new();
        frontend::query("ROLLBACK", &mut out)?;
        self.connection().client.send(&out).await?;
        self.connection().client.receive_rows().await?;
        self.running = false;
        Ok(())
    }

    /// Runs statements and returns where the instance stands after them.
    async fn run(&mut self, sql: &str) -> Result<Status, pgsql::Error> {
        let mut out = BytesMut::new();
        frontend::query(sql, &mut out)?;
        frontend::query(STATUS_QUERY, &mut out)?;
        let client = &mut self.connection().client;
        client.send(&out).await?;
        client.receive_rows().await?;
        let row = client.receive_rows().await?.into_iter().next();
        let row = row.ok_or(pgsql::Error::Protocol("no status row"))?;
        Status::try_from(row).map_err(|_| pgsql::Error::Protocol("a malformed status row"))
    }
}
