//! The state of processes that tests start.

use std::time::{Duration, Instant};

/// Time after which a process that got a signal counts as not reacting.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until all threads of a process are stopped, after it was sent SIGSTOP: each stops when it next returns from the
/// kernel, which takes a while on a busy machine.
pub fn wait_until_stopped(id: u32) {
    let start = Instant::now();
    while !is_stopped(id) {
        assert!(start.elapsed() < TIMEOUT, "process {id} does not stop");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn is_stopped(id: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).expect("the process runs");
    threads.flatten().all(|thread| {
        let stat = std::fs::read_to_string(thread.path().join("stat")).unwrap_or_default();
        // The state follows the name, which may contain parentheses.
        stat.rsplit(')').next().is_some_and(|fields| fields.trim_start().starts_with('T'))
    })
}
