//! Logs: the bound on their rate, and one JSON object a line.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::Duration;

use cactushatch::clock::Instant;
use cactushatch::config::Rate;
use cactushatch::report::{Limit, Verdict};

fn at(ms: u64) -> Instant {
    Instant(1_000_000_000) + Duration::from_millis(ms)
}

#[test]
fn a_flood_is_bounded_and_counted() {
    let mut limit = Limit::new(Rate(50));
    let mut written = 0;
    let mut counted = 0;
    for ms in 0..10_000 {
        for _ in 0..10 {
            if let Verdict::Write { suppressed } = limit.step(at(ms)) {
                written += 1;
                counted += suppressed;
            }
        }
    }
    assert!((500..=551).contains(&written), "{written} lines in ten seconds at 50/s");
    let Verdict::Write { suppressed } = limit.step(at(20_000)) else {
        panic!("a line after a pause is left out");
    };
    assert_eq!(written + counted + suppressed, 100_000, "a line is neither written nor counted");
}

#[test]
fn a_quiet_log_is_whole() {
    let mut limit = Limit::new(Rate(50));
    for n in 0..1_000 {
        assert_eq!(limit.step(at(n * 20)), Verdict::Write { suppressed: 0 });
    }
}

#[test]
fn a_log_line_is_one_json_object() {
    let dir = tempfile::tempdir().unwrap();
    let ports: [TcpListener; 4] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    let [a, b, c, d] = ports.map(|listener| listener.local_addr().unwrap());
    let settings = format!(
        "node = \"proxy-1\"\ndomain = \"a\"\n\
         voters = [{{ node = \"c\", address = \"{d}\", domain = \"a\", admin = \"{d}\" }}]\n\
         [proxy]\nlisten = \"{a}\"\naddress = \"{b}\"\nadmin = \"{c}\"\n[log]\nformat = \"json\"\n"
    );
    let path = dir.path().join("proxy.toml");
    std::fs::write(&path, settings).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(["proxy", "--settings", &path.display().to_string()])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut reader = BufReader::new(child.stderr.take().unwrap());
    reader.read_line(&mut line).unwrap();
    let object: serde_json::Value = serde_json::from_str(&line).expect(&line);
    assert!(object["text"].as_str().unwrap().contains("proxy-1"), "{line}");
    assert_eq!(object["level"], "INFO");
    let pid = child.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    assert!(child.wait().unwrap().success(), "SIGTERM is no orderly end");
}
