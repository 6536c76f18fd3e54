//! Monitors instances: queries the status of each one at short intervals and detects when it stops answering.

use std::sync::Arc;
use std::time::Duration;

use super::server::Shared;
use crate::upstream::probe::Probe;
use crate::wire::Replica;

/// The interval between status queries to an instance.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// The delay before the next status query to an instance that failed.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Queries the status of one instance until it is no longer announced or listed under this address.
pub(super) async fn run(shared: Arc<Shared>, replica: Replica) {
    let (user, application) = (shared.user.clone(), shared.application.clone());
    let mut probe = Probe::new(shared.clock.clone(), user, application, replica.clone())
        .with_upstream(shared.credentials.upstream.clone())
        .count_in(shared.metrics.upstream());
    while shared.is_announced(&replica) {
        let sent = shared.clock.now();
        match probe.status().await {
            Ok(response) => {
                if response.reconnected {
                    shared.record_reconnection(&replica.instance);
                }
                shared.record_probe(
                    &replica.instance,
                    sent,
                    Ok((response.requested_at, response.status)),
                );
                shared.wait_for_query(&replica.instance, QUERY_INTERVAL).await;
            }
            Err(health) => {
                shared.record_probe(&replica.instance, sent, Err(health));
                shared.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
    shared.remove_instance(&replica);
}
