//! Pings instances to keep their health and the positions of the primaries up to date when there is too little traffic
//! to do so. One timer serves all instances, and an instance that answered recently is not pinged.

use std::sync::Arc;
use std::time::Duration;

use super::connection::{Permit, SharedConnection};
use super::guard::PingGuard;
use super::server::Shared;
use super::state::Instance;
use crate::clock::Instant;
use crate::id;
use crate::statement::Command;
use crate::upstream::connection::Error;
use crate::wire::{Health, Replica};

/// How often the instances are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long an instance may be silent before it is pinged. Under load every instance answers more often.
const MAX_SILENCE: Duration = Duration::from_millis(250);

/// How long an instance may take to answer a ping before it counts as silent. A ping takes none of the instance's
/// slots, so this covers many round trips between failure domains and opening a new connection.
const PING_TIMEOUT: Duration = Duration::from_millis(350);

/// How long a failed ping delays the next one. A hung instance still accepts connections, which ends its silence, so the
/// failure must be reported before.
const REPORT_TIME: Duration = CHECK_INTERVAL.checked_div(2).expect("the divisor is not 0");

/// Pings instances in a loop until the process ends.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(CHECK_INTERVAL).await;
        shared.check_lease_renewal();
        let now = shared.clock.now();
        let stale = shared.stale_primaries();
        let due = shared.map_instances(|entry| {
            let health = &entry.health;
            let is_due =
                health.silence(now) >= MAX_SILENCE || !health.is_usable() || health.is_suspect();
            let needs_ping = is_due || stale.contains(&entry.replica.instance);
            needs_ping.then(|| entry.replica.clone())
        });
        for replica in due.into_iter().flatten() {
            spawn_ping(&shared, replica);
        }
    }
}

/// Pings a group's primary for its position, unless a ping is pending or a connection is being opened, which yields the
/// position too. An instance that is silent is still pinged beside it: a ping times out sooner.
pub(super) fn ping_primary(shared: &Arc<Shared>, group: &id::Group) {
    let primary = shared.primary(group).filter(|primary| !shared.is_opening(primary));
    if let Some(primary) = primary {
        spawn_ping(shared, primary);
    }
}

fn spawn_ping(shared: &Arc<Shared>, replica: Replica) {
    if let Some(guard) = shared.begin_ping(&replica) {
        let permit = shared.try_acquire_permit(&replica);
        if permit.is_none() && shared.is_connection_limited(&replica) {
            // The instance refused a connection a moment ago: it is alive and would refuse this one too.
            return;
        }
        smol::spawn(ping_instance(Arc::clone(shared), replica, permit, guard)).detach();
    }
}

/// Pings an instance for its position, over an idle connection or a new one. When statements that wait for a dead
/// instance hold all permits, the ping runs without one: an instance that has no free connection refuses it.
async fn ping_instance(
    shared: Arc<Shared>,
    replica: Replica,
    permit: Option<Permit>,
    guard: PingGuard,
) {
    let seat = match shared.any_idle_connection(&replica.instance) {
        Ok(connection) => {
            let deadline = shared.clock.now() + PING_TIMEOUT;
            match ping(&shared, &replica, connection, &permit, deadline).await {
                Ok(()) => return,
                Err(error) => shared.record_failure(&replica.instance, &error),
            }
            shared.seat(&replica.instance)
        }
        Err(seat) => seat,
    };
    // A connection that went silent shows nothing, so an overloaded instance has the same time again.
    let deadline = shared.clock.now() + PING_TIMEOUT;
    match shared.open_connection(&replica.instance, None, seat, deadline).await {
        Ok(connection) => match ping(&shared, &replica, connection, &permit, deadline).await {
            Ok(()) => {}
            // What an instance answers to a statement may be the fault of its content. A ping has none.
            Err(error) if error.is_unreadable() => {
                shared.record_health(&replica.instance, Health::Faulty, &error);
            }
            Err(error) => shared.record_health(&replica.instance, error.health(), &error),
        },
        // The failure was recorded when the connection failed to open.
        Err(error) => {
            if let (true, Some(permit)) = (error.is_at_connection_limit(), &permit) {
                shared.record_refused_connection(permit);
            }
        }
    }
    let is_unusable = |entry: &Instance| !entry.health.is_usable();
    let has_failed = shared.lock().instances.get(&replica.instance).is_some_and(is_unusable);
    if has_failed {
        shared.clock.sleep(REPORT_TIME).await;
    }
    drop(guard);
}

/// Pings an instance over a connection, and returns it to the pool if it was taken with a permit.
async fn ping(
    shared: &Shared,
    replica: &Replica,
    mut connection: SharedConnection,
    permit: &Option<Permit>,
    deadline: Instant,
) -> Result<(), Error> {
    let instance = &replica.instance;
    // Opening the connection may have taken long, and the lease may have been granted meanwhile.
    let term = shared.primary_term(&replica.group, instance);
    let sent = shared.clock.now();
    connection.setup.clear();
    let outcome = connection.upstream.request(&shared.clock, &Command::Reset, deadline).await?;
    shared.record_answer(instance, outcome.position);
    let is_same_term = term.is_some() && term == shared.primary_term(&replica.group, instance);
    if let Some(mark) = outcome.position.filter(|_| is_same_term) {
        shared.record_sample(&replica.group, sent, mark);
    }
    if permit.is_some() {
        shared.return_connection(instance, connection);
    }
    Ok(())
}
