//! The thread that writes to the disk, so that nobody else waits for it.

use std::sync::{Arc, mpsc};

use super::raft::{Change, Input, Peer};
use super::server::Shared;
use super::store::{Disk, Error, Store};

/// What the thread is to do.
#[derive(Debug)]
pub(super) enum Order {
    /// Write and sync a change, and report its ticket.
    Persist(u64, Change),
    /// Note for good that control refused this disk.
    Refuse(Peer),
}

/// Starts the thread. It ends with the first failure: after a failed sync nobody knows what the disk holds.
pub(super) fn spawn<D: Disk>(
    shared: Arc<Shared>,
    mut store: Store<D>,
    orders: mpsc::Receiver<Order>,
) -> std::io::Result<()> {
    let write = move || {
        if let Err(error) = run(&shared, &mut store, &orders) {
            shared.stop(&error.to_string());
        }
    };
    std::thread::Builder::new().name("journal".to_owned()).spawn(write).map(|_| ())
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
            Order::Refuse(known) => return store.refuse(&known),
        };
        while let Ok(order) = orders.try_recv() {
            match order {
                Order::Persist(later, more) if change.joins(&more) => {
                    change.join(more);
                    ticket = later;
                }
                other => {
                    next = Some(other);
                    break;
                }
            }
        }
        store.persist(change)?;
        shared.step(Input::Synced { ticket });
    }
    Ok(())
}
