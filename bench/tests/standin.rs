//! The stand-in behaves like a PostgreSQL server in the ways that the proxy depends on.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// A stand-in process, killed on drop.
struct Standin {
    child: Child,
    port: u16,
    _data_dir: tempfile::TempDir,
}

impl Standin {
    fn spawn() -> Self {
        let bench = env!("CARGO_BIN_EXE_bench");
        let ports = Command::new(bench).args(["ports", "3"]).output().expect("bench ports runs");
        let port: u16 =
            String::from_utf8_lossy(&ports.stdout).trim().parse().expect("the output is a port");
        let data = tempfile::tempdir().expect("the temporary directory is created");
        let child = Command::new(bench)
            .args(["standin", "--group", "g", "--instance", "g-1", "--domain", "a"])
            .args(["--listen", &format!("127.0.0.1:{port}")])
            .args(["--connect-time", "0ms", "--data"])
            .arg(data.path())
            .stderr(Stdio::null())
            .spawn()
            .expect("the stand-in starts");
        Self { child, port, _data_dir: data }
    }

    fn connect(&self) -> Client {
        let start = Instant::now();
        loop {
            let mut config = Config::new();
            config.host("127.0.0.1").port(self.port).user("test").dbname("g");
            match config.connect(NoTls) {
                Ok(client) => return client,
                Err(error) => assert!(start.elapsed() < Duration::from_secs(10), "{error}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn count_rows(client: &mut Client) -> String {
    let answer = client.simple_query("SELECT count(*) FROM t").expect("the rows are counted");
    let row = answer.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(ToOwned::to_owned),
        _ => None,
    });
    row.expect("the result has a row")
}

#[test]
fn transactions_begin_and_end_as_in_postgresql() {
    let standin = Standin::spawn();
    let mut client = standin.connect();
    client.batch_execute("CREATE TABLE t (id INTEGER PRIMARY KEY)").expect("the table is created");
    client.batch_execute("BEGIN; INSERT INTO t VALUES (1)").expect("the transaction begins");
    client
        .batch_execute("INSERT INTO t VALUES (2)")
        .expect("the row is inserted in the transaction");
    client.batch_execute("ROLLBACK").expect("the transaction is rolled back");
    assert_eq!(
        count_rows(&mut client),
        "0",
        "a BEGIN in a multi-statement query opens a transaction"
    );
    client
        .batch_execute("INSERT INTO t VALUES (3); INSERT INTO t VALUES (4)")
        .expect("both rows are inserted");
    assert_eq!(
        count_rows(&mut client),
        "2",
        "a multi-statement query without BEGIN commits at its end"
    );
    let failed = client.batch_execute("INSERT INTO t VALUES (5); INSERT INTO t VALUES (3)");
    failed.expect_err("the key exists already");
    assert_eq!(count_rows(&mut client), "2", "a multi-statement query that fails has no effect");
}

#[test]
fn a_lost_answer_closes_the_connection_after_the_commit() {
    let standin = Standin::spawn();
    let mut client = standin.connect();
    client.batch_execute("CREATE TABLE t (id INTEGER)").expect("the table is created");
    standin.set_faults("{\"lose_after_commit\":1}");
    let lost = client.batch_execute("INSERT INTO t VALUES (1)").expect_err("the answer is lost");
    assert!(lost.is_closed() || lost.code().is_none(), "the server answered with an error: {lost}");
    let mut other = standin.connect();
    assert_eq!(count_rows(&mut other), "1", "the write took effect");
}

#[test]
fn half_open_connections_get_no_answer_while_new_ones_work() {
    let standin = Standin::spawn();
    let mut old = standin.connect();
    standin.set_faults("{\"half_open\":true}");
    let mut new = standin.connect();
    new.batch_execute("CREATE TABLE t (id INTEGER)").expect("a new connection gets answers");
    let (send, receive) = std::sync::mpsc::channel();
    std::thread::spawn(move || send.send(old.batch_execute("SELECT 1").is_ok()));
    let answer = receive.recv_timeout(Duration::from_millis(300));
    answer.expect_err("a half-open connection gets no answer");
}

#[test]
fn every_nth_answer_of_a_connection_comes_a_second_time() {
    use std::io::{Read, Write};

    let standin = Standin::spawn();
    drop(standin.connect());
    standin.set_faults("{\"twice_every\":2,\"twice_ms\":50}");
    let mut socket = std::net::TcpStream::connect(("127.0.0.1", standin.port)).unwrap();
    let startup = b"\0\0\0\x1e\0\x03\0\0user\0test\0database\0t\0\0";
    socket.write_all(startup).unwrap();
    for text in ["one", "two"] {
        let query = format!("SELECT '{text}'\0");
        let len = (query.len() as u32 + 4).to_be_bytes();
        socket.write_all(&[b"Q", &len[..], query.as_bytes()].concat()).unwrap();
    }
    socket.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let mut received = Vec::new();
    socket.read_to_end(&mut received).expect_err("the connection stays open");
    // The text of a row follows its length.
    let count = |row: &[u8]| received.windows(row.len()).filter(|bytes| *bytes == row).count();
    assert_eq!((count(b"\0\0\0\x03one"), count(b"\0\0\0\x03two")), (1, 2));
}

impl Standin {
    fn set_faults(&self, line: &str) {
        use std::io::{BufRead, BufReader, Write};

        let address = format!("127.0.0.1:{}", self.port + 2);
        let mut socket =
            std::net::TcpStream::connect(address).expect("the fault port accepts connections");
        socket.write_all(format!("{line}\n").as_bytes()).expect("the faults are sent");
        let mut answer = String::new();
        BufReader::new(socket).read_line(&mut answer).expect("the stand-in answers");
        assert_eq!(answer, "ok\n");
    }
}
