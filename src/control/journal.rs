//! The thread that writes to the disk, so that nobody else waits for it.
//!
//! After a failure nobody knows what the disk holds, so the process takes no part from then on. Where voters are
//! named by the settings it stays like that until an operator looks. Where the leader decides who votes, the thread
//! goes on trying to read the disk and to write all of it anew; once that is synced, what it holds is known again, and the
//! process takes part as after a restart.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use super::raft::{Change, Input, Peer};
use super::server::Shared;
use super::store::{Disk, Error, Recovery, Store};
use crate::id;

/// How long to wait before a disk that failed is tried again.
const REOPEN_DELAY: Duration = Duration::from_millis(250);

/// What the thread is to do.
#[derive(Debug)]
pub(super) enum Job {
    /// Write and sync a change, and report its ticket.
    Persist(u64, Change),
    /// Note for good that control refused this disk.
    MarkRefused(Peer),
}

/// Starts the thread.
pub(super) fn spawn<D: Disk>(
    shared: Arc<Shared>,
    mut store: Store<D>,
    jobs: mpsc::Receiver<Job>,
) -> std::io::Result<()> {
    let write = move || {
        while let Err(error) = write_jobs(&shared, &mut store, &jobs) {
            shared.stop(&error.to_string());
            if !shared.restarts_after_disk_failure() || !matches!(error, Error::Io { .. }) {
                return;
            }
            let found;
            (store, found) = reopen(store, &shared.me().node);
            shared.restart_from_disk(found, &jobs);
        }
    };
    std::thread::Builder::new().name("journal".to_owned()).spawn(write).map(|_| ())
}

/// Reads a disk that failed and writes all of it anew, until both are done.
fn reopen<D: Disk>(mut store: Store<D>, node: &id::Node) -> (Store<D>, Recovery) {
    loop {
        std::thread::sleep(REOPEN_DELAY);
        match store.reopen(node, fastrand::u32(..)) {
            Ok(found) => return (store, found),
            Err(error) => log::warn!("the disk still fails: {error}"),
        }
    }
}

fn write_jobs<D: Disk>(
    shared: &Arc<Shared>,
    store: &mut Store<D>,
    jobs: &mpsc::Receiver<Job>,
) -> Result<(), Error> {
    let mut next = None;
    while let Some(job) = next.take().or_else(|| jobs.recv().ok()) {
        let (mut ticket, mut change) = match job {
            Job::Persist(ticket, change) => (ticket, change),
            Job::MarkRefused(known) => return store.mark_refused(&known),
        };
        while let Ok(job) = jobs.try_recv() {
            match job {
                Job::Persist(later, more) if change.can_merge(&more) => {
                    change.merge(more);
                    ticket = later;
                }
                other => {
                    next = Some(other);
                    break;
                }
            }
        }
        let begun = shared.clock.now();
        store.persist(change)?;
        shared.metrics.synced(shared.clock.now().since(begun));
        shared.step(Input::Synced { ticket });
    }
    Ok(())
}
