//! Plain statements: SQLite runs them, in a slot.

use cactushatch::wire::Role;
use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;

use super::reply::{columns, tag};
use super::server::{Refusal, Session};

impl Session<'_> {
    pub(super) fn plain(
        &mut self,
        text: &str,
        parameters: &[Value],
        formats: &[i16],
        describe: bool,
    ) -> Result<(), Refusal> {
        let read_only = self.database.prepare(text).map_err(refusal)?.readonly();
        let alone = !read_only && self.status == TransactionStatus::Idle;
        let role = self.instance.journal.log.lock().unwrap().role;
        if read_only {
            self.instance.counters.note_read(role);
        } else {
            self.instance.counters.note_write();
        }
        if !read_only && role != Role::Primary {
            return Err((
                "25006",
                "cannot execute this statement in a read-only transaction".to_owned(),
            ));
        }
        if alone {
            self.begin(false)?;
        }
        let instance = self.instance;
        let result = instance.slots.with(|| {
            std::thread::sleep(instance.settings.service_time);
            self.execute(text, parameters, formats, describe, read_only)
        });
        if !alone {
            return result;
        }
        // The command tag is in the reply already, so a commit that fails takes it back.
        let len = self.reply.out.len();
        let result = result.and_then(|()| self.commit());
        if result.is_err() {
            self.reply.out.truncate(len);
            self.end_transaction();
        }
        result
    }

    fn execute(
        &mut self,
        text: &str,
        parameters: &[Value],
        formats: &[i16],
        describe: bool,
        read_only: bool,
    ) -> Result<(), Refusal> {
        let mut statement = self.database.prepare_cached(text).map_err(refusal)?;
        let wanted = statement.parameter_count().min(parameters.len());
        for (at, value) in parameters[..wanted].iter().enumerate() {
            statement.raw_bind_parameter(at + 1, value).map_err(refusal)?;
        }
        if !read_only {
            self.pending.extend(statement.expanded_sql());
        }
        let columns = columns(&statement);
        if describe && !columns.is_empty() {
            self.reply.columns(&columns, formats);
        }
        let mut count = 0;
        let mut rows = statement.raw_query();
        while let Some(row) = rows.next().map_err(refusal)? {
            let values: Result<Vec<Value>, _> = (0..columns.len()).map(|at| row.get(at)).collect();
            self.reply.row(&columns, &values.map_err(refusal)?, formats);
            count += 1;
        }
        drop(rows);
        drop(statement);
        if !read_only {
            count = self.database.changes();
        }
        self.reply.complete(&tag(text, count));
        Ok(())
    }
}

/// Says that no statement has been prepared under this name.
pub fn no_statement(name: &str) -> Refusal {
    ("26000", format!("prepared statement {name:?} does not exist"))
}

/// Turns an error of SQLite into one for the client.
pub fn refusal(error: rusqlite::Error) -> Refusal {
    let code = match &error {
        rusqlite::Error::SqliteFailure(cause, _) => match cause.extended_code {
            rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY
            | rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE => "23505",
            rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
            rusqlite::ffi::SQLITE_BUSY_SNAPSHOT => "40001",
            rusqlite::ffi::SQLITE_INTERRUPT => "57014",
            _ => "42601",
        },
        _ => "42601",
    };
    (code, error.to_string())
}
