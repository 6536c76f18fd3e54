//! The proxy's own look at each instance: its status, and whether it answers.

use std::sync::Arc;
use std::time::Duration;

use super::server::Shared;
use crate::clock::Instant;
use crate::pgsql::{Client, Error};
use crate::upstream::position::{QUERY, Status, trouble};
use crate::wire::{Replica, Trouble};

/// How often an instance is asked.
const INTERVAL: Duration = Duration::from_millis(10);

/// How long an instance may take to answer before it counts as silent.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long to wait before an instance that failed is asked again.
const PAUSE: Duration = Duration::from_millis(20);

/// Watches one instance for as long as it is announced.
pub(super) async fn watch(shared: Arc<Shared>, replica: Replica) {
    let mut client = None;
    let mut good = false;
    while shared.is_announced(&replica) {
        let sent = shared.clock.now();
        match ask(&shared, &replica, &mut client).await {
            Ok(status) => {
                good = true;
                shared.saw(&replica.instance, sent, Ok(status));
                shared.pause(&replica.instance, INTERVAL).await;
            }
            // A connection that broke proves little, so a new one is tried first.
            Err(error) if good && trouble(&error) != Trouble::Silent => {
                good = false;
                client = None;
            }
            Err(error) => {
                good = false;
                client = None;
                shared.saw(&replica.instance, sent, Err(trouble(&error)));
                shared.clock.sleep(PAUSE).await;
            }
        }
    }
    shared.forget(&replica);
}

async fn ask(
    shared: &Shared,
    replica: &Replica,
    client: &mut Option<Client>,
) -> Result<(Instant, Status), Error> {
    let open = match client {
        Some(open) => open,
        None => {
            let open = connect(shared, replica).await?;
            shared.begin_life(&replica.instance);
            client.insert(open)
        }
    };
    let sent = shared.clock.now();
    let rows = open.query(&shared.clock, QUERY, TIMEOUT).await?;
    let row = rows.into_iter().next().ok_or(Error::Protocol("no status row"))?;
    let status = Status::try_from(row).map_err(|_| Error::Protocol("a malformed status row"))?;
    Ok((sent, status))
}

async fn connect(shared: &Shared, replica: &Replica) -> Result<Client, Error> {
    let parameters = [
        ("user", shared.user.as_str()),
        ("database", replica.group.as_str()),
        ("application_name", shared.application.as_str()),
    ];
    let upstream = Some(&shared.guard.upstream);
    Client::open(&shared.clock, replica.address, &parameters, upstream, TIMEOUT).await
}
