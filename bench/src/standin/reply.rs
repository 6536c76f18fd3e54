//! Encoding of messages to clients.

use bytes::{BufMut, BytesMut};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::data::{
    DataRow, FieldDescription, NoData, ParameterDescription, RowDescription,
};
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use pgwire::messages::response::{
    CommandComplete, EmptyQueryResponse, ErrorResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, ParameterStatus, SecretKey};
use rusqlite::types::Value;

/// The type id of `int8`.
pub const INT8: u32 = 20;
/// The type id of `text`.
pub const TEXT: u32 = 25;
/// The type id of `float8`.
pub const FLOAT8: u32 = 701;
/// The type id of `bytea`.
pub const BYTEA: u32 = 17;

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Column {
    pub name: String,
    pub type_oid: u32,
}

/// Returns the type id of a declared column type or a cast.
pub fn type_oid_of(declared: &str) -> u32 {
    let declared = declared.trim().to_ascii_lowercase();
    let has = |part| declared.starts_with(part);
    if has("int") || has("big") || has("serial") || has("small") || has("bool") {
        INT8
    } else if has("real") || has("float") || has("double") || has("numeric") {
        FLOAT8
    } else if has("blob") || has("bytea") {
        BYTEA
    } else {
        TEXT
    }
}

/// Buffers messages for a client.
#[derive(Debug, Default)]
pub struct Reply {
    pub buffer: BytesMut,
}

impl Reply {
    fn push(&mut self, message: &PgWireBackendMessage) {
        message.encode(&mut self.buffer).expect("messages of the stand-in can be encoded");
    }

    /// Appends the messages that end a start-up: authentication, parameters and cancel key.
    pub fn startup_complete(&mut self, process_id: i32, secret: i32) {
        self.push(&PgWireBackendMessage::Authentication(Authentication::Ok));
        let parameters = [
            ("server_version", "15.0"),
            ("server_encoding", "UTF8"),
            ("client_encoding", "UTF8"),
            ("DateStyle", "ISO, MDY"),
            ("integer_datetimes", "on"),
            ("standard_conforming_strings", "on"),
        ];
        for (name, value) in parameters {
            let status = ParameterStatus::new(name.to_owned(), value.to_owned());
            self.push(&PgWireBackendMessage::ParameterStatus(status));
        }
        let key = BackendKeyData::new(process_id, SecretKey::I32(secret));
        self.push(&PgWireBackendMessage::BackendKeyData(key));
    }

    pub fn ready_for_query(&mut self, status: TransactionStatus) {
        self.push(&PgWireBackendMessage::ReadyForQuery(ReadyForQuery::new(status)));
    }

    pub fn error_response(&mut self, code: &str, message: &str) {
        let fields = vec![
            (b'S', "ERROR".to_owned()),
            (b'V', "ERROR".to_owned()),
            (b'C', code.to_owned()),
            (b'M', message.to_owned()),
        ];
        self.push(&PgWireBackendMessage::ErrorResponse(ErrorResponse::new(fields)));
    }

    pub fn command_complete(&mut self, tag: &str) {
        self.push(&PgWireBackendMessage::CommandComplete(CommandComplete::new(tag.to_owned())));
    }

    pub fn empty_query_response(&mut self) {
        self.push(&PgWireBackendMessage::EmptyQueryResponse(EmptyQueryResponse::new()));
    }

    pub fn parse_complete(&mut self) {
        self.push(&PgWireBackendMessage::ParseComplete(ParseComplete::new()));
    }

    pub fn bind_complete(&mut self) {
        self.push(&PgWireBackendMessage::BindComplete(BindComplete::new()));
    }

    pub fn close_complete(&mut self) {
        self.push(&PgWireBackendMessage::CloseComplete(CloseComplete::new()));
    }

    pub fn parameter_description(&mut self, types: &[u32]) {
        let description = ParameterDescription::new(types.to_vec());
        self.push(&PgWireBackendMessage::ParameterDescription(description));
    }

    /// Appends `RowDescription`, or `NoData` without columns.
    pub fn row_description(&mut self, columns: &[Column], formats: &[i16]) {
        if columns.is_empty() {
            self.push(&PgWireBackendMessage::NoData(NoData::new()));
            return;
        }
        let field = |(index, column): (usize, &Column)| {
            let size = if matches!(column.type_oid, INT8 | FLOAT8) { 8 } else { -1 };
            let format = format_code(formats, index);
            FieldDescription::new(column.name.clone(), 0, 0, column.type_oid, size, -1, format)
        };
        let fields = columns.iter().enumerate().map(field).collect();
        self.push(&PgWireBackendMessage::RowDescription(RowDescription::new(fields)));
    }

    pub fn data_row(&mut self, columns: &[Column], values: &[Value], formats: &[i16]) {
        let mut data = BytesMut::new();
        for (index, value) in values.iter().enumerate() {
            let binary = format_code(formats, index) == 1;
            encode_value(&mut data, value, columns[index].type_oid, binary);
        }
        let row = DataRow::new(data, values.len() as i16);
        self.push(&PgWireBackendMessage::DataRow(row));
    }
}

fn format_code(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => 0,
        [one] => *one,
        many => many.get(index).copied().unwrap_or(0),
    }
}

fn encode_value(data: &mut BytesMut, value: &Value, type_oid: u32, binary: bool) {
    let bytes = match (value, type_oid, binary) {
        (Value::Null, ..) => {
            data.put_i32(-1);
            return;
        }
        (Value::Integer(number), INT8, true) => number.to_be_bytes().to_vec(),
        (Value::Integer(number), FLOAT8, true) => (*number as f64).to_be_bytes().to_vec(),
        (Value::Real(number), FLOAT8, true) => number.to_be_bytes().to_vec(),
        (Value::Integer(number), ..) => number.to_string().into_bytes(),
        (Value::Real(number), ..) => number.to_string().into_bytes(),
        (Value::Text(text), INT8, true) => {
            text.parse::<i64>().unwrap_or_default().to_be_bytes().to_vec()
        }
        (Value::Text(text), ..) => text.clone().into_bytes(),
        (Value::Blob(blob), BYTEA, false) => {
            let hex: String = blob.iter().map(|byte| format!("{byte:02x}")).collect();
            format!("\\x{hex}").into_bytes()
        }
        (Value::Blob(blob), ..) => blob.clone(),
    };
    data.put_i32(bytes.len() as i32);
    data.put_slice(&bytes);
}

/// Returns the command tag of a statement that returned or changed `count` rows.
pub fn command_tag(text: &str, count: u64) -> String {
    let command = text.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
    match command.as_str() {
        "SELECT" | "WITH" | "VALUES" => format!("SELECT {count}"),
        "INSERT" | "REPLACE" => format!("INSERT 0 {count}"),
        "UPDATE" | "DELETE" => format!("{command} {count}"),
        "CREATE" | "DROP" | "ALTER" => {
            let object = text.split_whitespace().nth(1).unwrap_or("").to_ascii_uppercase();
            format!("{command} {object}")
        }
        _ => command,
    }
}

/// Returns the result columns of a prepared statement. SQLite knows no type of an expression; counts, sums and
/// maxima are taken as integers.
pub fn result_columns(statement: &rusqlite::Statement<'_>) -> Vec<Column> {
    let column = |column: &rusqlite::Column<'_>| {
        let name = column.name().to_owned();
        let is_aggregate =
            name.starts_with("count(") || name.starts_with("sum(") || name.starts_with("max(");
        let default_oid = if is_aggregate { INT8 } else { TEXT };
        Column { type_oid: column.decl_type().map_or(default_oid, type_oid_of), name }
    };
    statement.columns().iter().map(column).collect()
}
