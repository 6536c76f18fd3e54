//! A bounded queue between the code that logs and the thread that writes log lines, so that a stalled output never
//! blocks the callers of the log.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// The maximum number of queued lines: a few seconds' worth at the rates that settings allow, in less than a megabyte.
const CAPACITY_LINES: usize = 1_024;

/// The size at which a batch is written even if more lines are queued.
const BATCH_BYTES: usize = 32 * 1024;

/// How long [`Queue::flush`] waits, which delays the exit of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A bounded queue of lines with a thread that writes them; the thread exits when the queue is dropped.
#[derive(Debug)]
pub struct Queue {
    items: SyncSender<Item>,
    dropped: AtomicU64,
}

impl Queue {
    /// Creates a queue and starts the thread that writes its lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (items, received) = sync_channel(CAPACITY_LINES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_items(out, &received))?;
        Ok(Self { items, dropped: AtomicU64::new(0) })
    }

    /// Queues a line, or drops it if the queue is full. Returns whether the line was queued.
    pub fn push(&self, line: Vec<u8>) -> bool {
        let queued = self.items.try_send(Item::Line(line)).is_ok();
        if !queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        queued
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Waits until all queued lines are written, at most `FLUSH_TIMEOUT`.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        match self.items.try_send(Item::Flush(done)) {
            Ok(()) => {
                let _ = written.recv_timeout(FLUSH_TIMEOUT);
            }
            // A full queue means that the output is stalled; waiting for it would only delay the exit.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }
}

/// Writes queued lines until the queue is dropped. Write errors are ignored and lose the lines: a closed log output
/// must not end the process.
fn write_items(mut out: impl Write, items: &Receiver<Item>) {
    let mut batch = Vec::new();
    while let Ok(first) = items.recv() {
        let mut next = Some(first);
        let mut flush_done = None;
        while let Some(item) = next {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(done) => flush_done = Some(done),
            }
            let full = batch.len() >= BATCH_BYTES || flush_done.is_some();
            next = if full { None } else { items.try_recv().ok() };
        }
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
        if let Some(done) = flush_done {
            let _ = done.send(());
        }
    }
}
