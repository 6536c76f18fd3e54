//! Fleets that start at the same time get ports of their own. A port is free until its process has bound it, so being free
//! is not enough.

use std::collections::BTreeSet;
use std::process::Command;

/// Enough that some would overlap if each looked for free ports by itself.
const FLEETS: usize = 60;

const PORTS_PER_FLEET: u16 = 80;

#[test]
fn fleets_that_start_together_get_different_ports() {
    let claims = tempfile::tempdir().unwrap();
    let first_port = || {
        let output = Command::new(env!("CARGO_BIN_EXE_bench"))
            .args(["ports", &PORTS_PER_FLEET.to_string()])
            .env("TMPDIR", claims.path())
            .output()
            .expect("bench ports runs");
        let text = String::from_utf8_lossy(&output.stdout);
        text.trim().parse::<u16>().unwrap_or_else(|_| panic!("{output:?}"))
    };
    let first_ports: Vec<u16> = std::thread::scope(|scope| {
        let fleets: Vec<_> = (0..FLEETS).map(|_| scope.spawn(first_port)).collect();
        fleets.into_iter().map(|fleet| fleet.join().unwrap()).collect()
    });
    let ports: BTreeSet<u16> =
        first_ports.iter().flat_map(|first| *first..first + PORTS_PER_FLEET).collect();
    assert_eq!(ports.len(), FLEETS * usize::from(PORTS_PER_FLEET), "{first_ports:?}");
}
