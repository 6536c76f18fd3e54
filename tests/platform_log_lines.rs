//! Tests that content from the platform stays within its log line.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// Starts a control process that takes requests of a platform, sends a heartbeat whose state holds control characters, and
/// returns the log lines up to the one that quotes it.
fn log_of_malformed_heartbeat(format: &str, host: u8) -> String {
    let dir = tempfile::tempdir().unwrap();
    let ip = format!("127.237.0.{host}");
    let settings = format!(
        "node = \"control-1\"\ndomain = \"a\"\ndata = \"{}\"\n\
         [seeds]\nhosts = [\"{ip}:17303\", \"127.237.0.2:17303\", \"127.237.0.3:17303\"]\nport = 17304\n\
         first_start = true\nlosses = 1\n\
         [control]\naddress = \"{ip}:17304\"\nadmin = \"{ip}:17305\"\ngateway = \"{ip}:17303\"\n\
         promoter = \"{ip}:17307\"\n[log]\nformat = \"{format}\"\n",
        dir.path().join("data").display()
    );
    let path = dir.path().join("control.toml");
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(["platform", "control", "--settings", &path.display().to_string()])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let state =
        "up\\n2026-12-07T00:00:00.000Z ERROR control-1 forged\\r\\u001b[31m\\u009b1m\\u2028";
    let body = format!(
        "{{\"Service\":\"books\",\"Addr\":\"{ip}:1\",\"Zone\":\"a\",\"Version\":\"1\",\"Slots\":1,\
         \"State\":\"{state}\",\"ColdLeftMs\":0,\"DbRole\":\"replica\",\"Seq\":1}}"
    );
    let request = format!(
        "PUT /instances/i-1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let start = Instant::now();
    let mut socket = loop {
        match TcpStream::connect(format!("{ip}:17303")) {
            Ok(socket) => break socket,
            Err(error) => assert!(start.elapsed() < Duration::from_secs(10), "{error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    socket.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    let mut log = String::new();
    child.stdout.take().unwrap().read_to_string(&mut log).unwrap();
    child.wait().unwrap();
    log
}

/// Guards against content that adds lines of its own to the log, or commands to the terminal that shows it.
#[test]
fn content_in_a_log_line_stays_on_its_line() {
    for (format, host) in [("text", 1), ("json", 11)] {
        let log = log_of_malformed_heartbeat(format, host);
        let quoted: Vec<&str> = log.lines().filter(|line| line.contains("forged")).collect();
        assert_eq!(quoted.len(), 1, "{log}");
        assert!(quoted[0].contains("malformed heartbeat"), "{}", quoted[0]);
        let is_harmful = |c: char| c.is_control() || matches!(c, '\u{2028}' | '\u{2029}');
        assert!(!log.contains(|c| c != '\n' && is_harmful(c)), "{log:?}");
        if format == "json" {
            let line: serde_json::Value = serde_json::from_str(quoted[0]).unwrap();
            let text = line["text"].as_str().unwrap();
            assert!(
                text.contains("up\n2026") && text.contains("\u{1b}[31m\u{9b}1m\u{2028}"),
                "{text:?}"
            );
        }
    }
}
