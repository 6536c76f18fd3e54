//! The stand-in behaves like a server where the proxy depends on it.

use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// A stand-in process that ends when dropped.
struct Standin {
    child: Child,
    port: u16,
    _data: tempfile::TempDir,
}

impl Standin {
    fn open() -> Self {
        let bench = env!("CARGO_BIN_EXE_bench");
        let ports = Command::new(bench).args(["ports", "3"]).output().expect("free ports");
        let port: u16 = String::from_utf8_lossy(&ports.stdout).trim().parse().expect("a port");
        let data = tempfile::tempdir().expect("a temporary folder");
        let child = Command::new(bench)
            .args(["standin", "--group", "g", "--instance", "g-1", "--domain", "a"])
            .args(["--listen", &format!("127.0.0.1:{port}")])
            .args(["--connect-time", "0ms", "--data"])
            .arg(data.path())
            .stderr(Stdio::null())
            .spawn()
            .expect("the stand-in starts");
        Self { child, port, _data: data }
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

fn count(client: &mut Client) -> String {
    let answer = client.simple_query("SELECT count(*) FROM t").expect("a count");
    let row = answer.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(ToOwned::to_owned),
        _ => None,
    });
    row.expect("a row")
}

#[test]
fn transactions_end_where_a_server_ends_them() {
    let standin = Standin::open();
    let mut client = standin.connect();
    client.batch_execute("CREATE TABLE t (id INTEGER PRIMARY KEY)").expect("a table");
    client.batch_execute("BEGIN; INSERT INTO t VALUES (1)").expect("an open transaction");
    client.batch_execute("INSERT INTO t VALUES (2)").expect("a second row");
    client.batch_execute("ROLLBACK").expect("its end");
    assert_eq!(count(&mut client), "0", "a BEGIN in a longer query opens a transaction");
    client.batch_execute("INSERT INTO t VALUES (3); INSERT INTO t VALUES (4)").expect("two rows");
    assert_eq!(count(&mut client), "2", "a longer query without BEGIN commits at its end");
    let failed = client.batch_execute("INSERT INTO t VALUES (5); INSERT INTO t VALUES (3)");
    failed.expect_err("a duplicate key");
    assert_eq!(count(&mut client), "2", "a longer query that fails has no effect");
}

#[test]
fn a_lost_answer_closes_the_connection_after_the_commit() {
    let standin = Standin::open();
    let mut client = standin.connect();
    client.batch_execute("CREATE TABLE t (id INTEGER)").expect("a table");
    standin.fault("{\"lose_after_commit\":1}");
    let lost = client.batch_execute("INSERT INTO t VALUES (1)").expect_err("no answer");
    assert!(lost.is_closed() || lost.code().is_none(), "an answer came: {lost}");
    let mut other = standin.connect();
    assert_eq!(count(&mut other), "1", "the write took effect");
}

#[test]
fn old_connections_go_silent_and_new_ones_work() {
    let standin = Standin::open();
    let mut old = standin.connect();
    standin.fault("{\"half_open\":true}");
    let mut new = standin.connect();
    new.batch_execute("CREATE TABLE t (id INTEGER)").expect("a new connection works");
    let (send, receive) = std::sync::mpsc::channel();
    std::thread::spawn(move || send.send(old.batch_execute("SELECT 1").is_ok()));
    let answer = receive.recv_timeout(Duration::from_millis(300));
    answer.expect_err("an old connection is silent");
}

impl Standin {
    fn fault(&self, line: &str) {
        use std::io::{BufRead, BufReader, Write};

        let address = format!("127.0.0.1:{}", self.port + 2);
        let mut socket = std::net::TcpStream::connect(address).expect("the fault port");
        socket.write_all(format!("{line}\n").as_bytes()).expect("a line is taken");
        let mut answer = String::new();
        BufReader::new(socket).read_line(&mut answer).expect("an answer");
        assert_eq!(answer, "ok\n");
    }
}
