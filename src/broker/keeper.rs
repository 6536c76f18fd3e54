//! Keeps what the request path knows fresh while traffic alone doesn't: whether instances answer, and where the
//! primaries stand. One timer serves all instances, and nobody is asked that has answered a moment ago.

use std::sync::Arc;
use std::time::Duration;

use super::guard::Asking;
use super::lane::{Lane, Permit};
use super::server::Shared;
use crate::clock::Instant;
use crate::id;
use crate::statement::Order;
use crate::upstream::connection::{Error, Outcome};
use crate::wire::Replica;

/// How often the instances are looked at.
const INTERVAL: Duration = Duration::from_millis(100);

/// How long an instance may say nothing until it is asked; under load all answer more often.
const QUIET: Duration = Duration::from_millis(250);

/// How long an instance may take to answer before it counts as silent: the question takes none of its slots, so this is
/// many round trips between failure domains, and room for a new connection.
const SILENCE: Duration = Duration::from_millis(350);

/// Looks after the instances for ever.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        shared.clock.sleep(INTERVAL).await;
        shared.look_around();
        let now = shared.clock.now();
        let faded = shared.faded();
        let due = shared.instances(|known| {
            let quiet = known.health.silence(now) >= QUIET || !known.health.is_usable();
            let needed = quiet || faded.contains(&known.replica.instance);
            needed.then(|| known.replica.clone())
        });
        for replica in due.into_iter().flatten() {
            begin(&shared, replica);
        }
    }
}

/// Asks a group's primary where it stands, unless that is under way.
pub(super) fn ask_primary(shared: &Arc<Shared>, group: &id::Group) {
    if let Some(primary) = shared.primary(group) {
        begin(shared, primary);
    }
}

fn begin(shared: &Arc<Shared>, replica: Replica) {
    if let Some(asking) = shared.begin_to_ask(&replica) {
        let permit = shared.permit_now(&replica);
        if permit.is_none() && shared.is_crowded(&replica) {
            // It refused a connection a moment ago, so it lives, and it would refuse this one.
            return;
        }
        smol::spawn(ask(Arc::clone(shared), replica, permit, asking)).detach();
    }
}

/// Asks an instance where it stands, over an idle connection or a new one. Statements that wait for an instance that
/// is gone hold all permits, and then the question needs none: an instance that has no connection left says so.
async fn ask(shared: Arc<Shared>, replica: Replica, permit: Option<Permit>, asking: Asking) {
    let instance = &replica.instance;
    let deadline = shared.clock.now() + SILENCE;
    let lane = match shared.idle(instance, &Default::default()) {
        Some(lane) => Ok(lane),
        None => shared.open(instance, deadline).await,
    };
    let mut lane = match lane {
        Ok(lane) => lane,
        Err(error) => {
            // What is wrong with the instance was noted when the connection failed.
            if let (true, Some(permit)) = (error.is_at_connection_limit(), &permit) {
                shared.crowded(permit);
            }
            return;
        }
    };
    // The connection may have taken long to open, and the lease may have come meanwhile.
    let term = shared.reign(&replica.group, instance);
    let sent = shared.clock.now();
    match ping(&shared, &mut lane, deadline).await {
        Ok(outcome) => {
            shared.answered(instance, outcome.position);
            let same = term.is_some() && term == shared.reign(&replica.group, instance);
            if let Some(mark) = outcome.position.filter(|_| same) {
                shared.trace(&replica.group, sent, mark);
            }
            if permit.is_some() {
                shared.keep(instance, lane);
            }
        }
        Err(error) => shared.failed(instance, &error),
    }
    drop(asking);
}

async fn ping(shared: &Shared, lane: &mut Lane, deadline: Instant) -> Result<Outcome, Error> {
    lane.applied.clear();
    lane.channel.request(&shared.clock, &Order::Reset, deadline).await
}
