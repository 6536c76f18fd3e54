//! Tests of placement with stale information, by simulations without a network.

mod instances;
mod lag;
mod servers;

use std::time::Duration;

use cactushatch::broker::dispatch::{Dispatcher, Primary, Request, Ticket};
use cactushatch::broker::need::Need;
use cactushatch::clock::Instant;
use cactushatch::config::Placement;
use cactushatch::id;
use smallvec::SmallVec;

const MS: Duration = Duration::from_millis(1);
const LONG: Duration = Duration::from_secs(10);

/// The instances of a group, its primary first.
const NAMES: [&str; 3] = ["p", "r0", "r1"];

fn at_us(us: u64) -> Instant {
    Instant(100_000_000 + us)
}

fn at(ms: u64) -> Instant {
    at_us(ms * 1_000)
}

fn instance(at: usize) -> id::Instance {
    NAMES[at].parse().expect("a name")
}

fn index(instance: &id::Instance) -> usize {
    NAMES.iter().position(|name| *name == instance.to_string()).expect("it exists")
}

fn dispatcher(placement: Placement) -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    (0..3).for_each(|at| dispatcher.set_instance(&instance(at), 5, true, false));
    dispatcher.set_placement(placement, 1);
    dispatcher.set_primary(at(0), Primary::Available(instance(0)));
    dispatcher
}

fn request(ticket: u64, need: Need, priority: u8) -> Request {
    Request {
        ticket: Ticket(ticket),
        need,
        priority,
        max_wait: LONG,
        max_promotion_wait: LONG,
        excluded: SmallVec::new(),
        account: None,
        target: LONG,
        warm: SmallVec::new(),
    }
}
