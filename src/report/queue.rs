//! The way of log lines to where they are written, which may stand still: nobody who logs ever waits for it.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// How many lines wait at most: some seconds at the rate that settings allow, in less than a megabyte.
const CAPACITY: usize = 1_024;

/// The most bytes that are written at once.
const BATCH_BYTES: usize = 32 * 1024;

/// How long the end of a process waits for the lines that are on their way.
const FLUSH: Duration = Duration::from_millis(200);

#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// A bounded queue of lines and the thread that writes them; the thread ends with the queue.
#[derive(Debug)]
pub struct Queue {
    items: SyncSender<Item>,
    dropped: AtomicU64,
}

impl Queue {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails when there can be no more threads.
    pub fn open(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (items, received) = sync_channel(CAPACITY);
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write(out, &received))?;
        Ok(Self { items, dropped: AtomicU64::new(0) })
    }

    /// Has a line written, or drops it when the queue is full; tells whether it was taken.
    pub fn push(&self, line: Vec<u8>) -> bool {
        let taken = self.items.try_send(Item::Line(line)).is_ok();
        if !taken {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        taken
    }

    /// Returns how many lines were dropped since this was last asked.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Waits until what was pushed is written, but not for long.
    pub fn flush(&self) {
        let (done, written) = sync_channel(1);
        match self.items.try_send(Item::Flush(done)) {
            Ok(()) => {
                let _ = written.recv_timeout(FLUSH);
            }
            // A full queue has nobody who reads it.
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }
}

/// Writes lines for as long as somebody pushes them. Where nobody takes them any more they are dropped: a process must
/// not end because its log does.
fn write(mut out: impl Write, items: &Receiver<Item>) {
    let mut batch = Vec::new();
    while let Ok(first) = items.recv() {
        let mut next = Some(first);
        let mut flushed = None;
        while let Some(item) = next {
            match item {
                Item::Line(line) => batch.extend_from_slice(&line),
                Item::Flush(done) => flushed = Some(done),
            }
            let full = batch.len() >= BATCH_BYTES || flushed.is_some();
            next = if full { None } else { items.try_recv().ok() };
        }
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
        if let Some(done) = flushed {
            let _ = done.send(());
        }
    }
}
