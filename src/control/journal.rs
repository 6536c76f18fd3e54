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
const RETRY: Duration = Duration::from_millis(250);

/// What the thread is to do.
#[derive(Debug)]
pub(super) enum Order {
    /// Write and sync a change, and report its ticket.
    Persist(u64, Change),
    /// Note for good that control refused this disk.
    Refuse(Peer),
}

/// Starts the thread.
pub(super) fn spawn<D: Disk>(
    shared: Arc<Shared>,
    mut store: Store<D>,
    orders: mpsc::Receiver<Order>,
) -> std::io::Result<()> {
    let write = move || {
        while let Err(error) = run(&shared, &mut store, &orders) {
            shared.stop(&error.to_string());
            if !shared.revives() || !matches!(error, Error::Io { .. }) {
                return;
            }
            let found;
            (store, found) = revive(store, &shared.me().node);
            shared.revive(found, &orders);
        }
    };
    std::thread::Builder::new().name("journal".to_owned()).spawn(write).map(|_| ())
}

/// Reads a disk that failed and writes all of it anew, until both are done.
fn revive<D: Disk>(mut store: Store<D>, node: &id::Node) -> (Store<D>, Recovery) {
    loop {
        std::thread::sleep(RETRY);
        match store.reopen(node, fastrand::u32(..)) {
            Ok(found) => return (store, found),
            Err(error) => log::warn!("the disk still fails: {error}"),
        }
    }
}

fn run<D: Disk>(
    shared: &Arc<Shared>,
    store: &mut Store<D>,
    orders: &mpsc::Receiver<Order>,
) -> Result<(), Error> {
    let mut next = None;
    while let Some(order) = next.take().or_else(|| orders.recv().ok()) {
        let (mut ticket, mut change) = match order {
            Order::Persist(ticket, change) => (ticket, change),
            Order::Refuse(known) => return store.mark_refused(&known),
        };
        while let Ok(order) = orders.try_recv() {
            match order {
                Order::Persist(later, more) if change.can_merge(&more) => {
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
        shared.metrics.observe_log_sync(shared.clock.now().since(begun));
        shared.step(Input::Synced { ticket });
    }
    Ok(())
}
