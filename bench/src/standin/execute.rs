//! Execution of SQL statements by SQLite, each in a slot of the instance.

use cactushatch::wire::Role;
use pgwire::messages::response::TransactionStatus;
use rusqlite::types::Value;

use super::reply::{command_tag, result_columns};
use super::server::{Session, SqlError};

impl Session<'_> {
    /// Runs a statement. A write outside of a transaction gets one of its own, as with autocommit.
    pub(super) fn execute(
        &mut self,
        text: &str,
        parameters: &[Value],
        formats: &[i16],
        with_description: bool,
    ) -> Result<(), SqlError> {
        let read_only = self.database.prepare(text).map_err(sqlite_error)?.readonly();
        let autocommit = !read_only && self.status == TransactionStatus::Idle;
        let role = self.instance.journal.log.lock().unwrap().role;
        if read_only {
            self.instance.counters.record_read(role);
        } else {
            self.instance.counters.record_write();
        }
        if !read_only && role != Role::Primary {
            return Err((
                "25006",
                "cannot execute this statement in a read-only transaction".to_owned(),
            ));
        }
        if autocommit {
            self.begin(false)?;
        }
        let instance = self.instance;
        let result = instance.slots.run(|| {
            std::thread::sleep(instance.settings.service_time);
            self.bind_and_step(text, parameters, formats, with_description, read_only)
        });
        if !autocommit {
            return result;
        }
        // The reply holds the command tag already; if the commit fails, the tag has to be removed.
        let reply_len = self.reply.buffer.len();
        let result = result.and_then(|()| self.commit());
        if result.is_err() {
            self.reply.buffer.truncate(reply_len);
            self.end_transaction();
        }
        result
    }

    /// Binds the parameters, steps through the rows and appends the answer to the reply.
    fn bind_and_step(
        &mut self,
        text: &str,
        parameters: &[Value],
        formats: &[i16],
        with_description: bool,
        read_only: bool,
    ) -> Result<(), SqlError> {
        let mut statement = self.database.prepare_cached(text).map_err(sqlite_error)?;
        let bound_count = statement.parameter_count().min(parameters.len());
        for (index, value) in parameters[..bound_count].iter().enumerate() {
            statement.raw_bind_parameter(index + 1, value).map_err(sqlite_error)?;
        }
        if !read_only {
            self.pending_statements.extend(statement.expanded_sql());
        }
        let columns = result_columns(&statement);
        if with_description && !columns.is_empty() {
            self.reply.row_description(&columns, formats);
        }
        let mut count = 0;
        let mut rows = statement.raw_query();
        while let Some(row) = rows.next().map_err(sqlite_error)? {
            let values: Result<Vec<Value>, _> =
                (0..columns.len()).map(|index| row.get(index)).collect();
            self.reply.data_row(&columns, &values.map_err(sqlite_error)?, formats);
            count += 1;
        }
        drop(rows);
        drop(statement);
        if !read_only {
            count = self.database.changes();
        }
        self.reply.command_complete(&command_tag(text, count));
        Ok(())
    }
}

/// Returns the error for a prepared statement that does not exist.
pub fn unknown_statement(name: &str) -> SqlError {
    ("26000", format!("prepared statement {name:?} does not exist"))
}

/// Converts an error of SQLite to one for the client.
pub fn sqlite_error(error: rusqlite::Error) -> SqlError {
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
