//! The thread that writes to the disk, so that no other thread blocks on it.
//!
//! After a failed write the content of the disk is unknown, so the process stops participating. If the settings name the
//! voters, it stays stopped until an operator intervenes. If the leader chooses the voters, the thread retries reading
//! the disk and rewriting all of it; once that is synced, the content is known again, and the process participates as
//! after a restart.

use std::sync::{Arc, mpsc};
use std::time::Duration;

use super::raft::{Change, Input, Peer};
use super::server::Shared;
use super::store::{Disk, Error, Recovery, Store};
use crate::id;

/// The delay before a failed disk is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(250);

/// A job of the thread.
#[derive(Debug)]
pub(super) enum Job {
    /// Write and sync a change, and report its ticket.
    Persist(u64, Change),
    /// Record on the disk that control has refused it.
    MarkRefused(Peer),
}

/// Starts the thread.
pub(super) fn spawn<D: Disk>(
    shared: Arc<Shared>,
    mut store: Store<D>,
    jobs: mpsc::Receiver<Job>,
) -> std::io::Result<()> {
    let run = move || {
        while let Err(error) = write_jobs(&shared, &mut store, &jobs) {
            shared.stop(&error.to_string());
            if !shared.restarts_after_disk_failure() || !matches!(error, Error::Io { .. }) {
                return;
            }
            let recovery;
            (store, recovery) = reopen(store, &shared.me().node);
            shared.restart_from_disk(recovery, &jobs);
        }
    };
    std::thread::Builder::new().name("journal".to_owned()).spawn(run).map(|_| ())
}

/// Reads a failed disk and rewrites all of it, and retries until both succeed.
fn reopen<D: Disk>(mut store: Store<D>, node: &id::Node) -> (Store<D>, Recovery) {
    loop {
        std::thread::sleep(REOPEN_DELAY);
        match store.reopen(node, fastrand::u32(..)) {
            Ok(recovery) => return (store, recovery),
            Err(error) => {
                log::warn!("reopening the disk failed, retrying in {REOPEN_DELAY:?}: {error}")
            }
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
        let started_at = shared.clock.now();
        store.persist(change)?;
        shared.metrics.observe_log_sync(shared.clock.now().since(started_at));
        shared.step(Input::Synced { ticket });
    }
    Ok(())
}
