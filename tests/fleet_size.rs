//! Replays the start of a large fleet against the leader's state machines: 300 proxies join, and 700 groups are announced
//! and get their first primary at once. What the leader sends must fit its datagrams and stay in proportion to what has
//! changed.

mod machine;

use std::collections::BTreeMap;
use std::time::Duration;

use cactushatch::config::Fleet;
use cactushatch::control::leader::Leader;
use cactushatch::control::leader::turn::{MAX_TURNS, Rotation};
use cactushatch::control::relay::{REFRESH_INTERVAL, Refreshes};
use cactushatch::control::state::{Action, Command, State};
use cactushatch::id;
use cactushatch::proxy::fence::Fence;
use cactushatch::wire::{
    Announcement, Availability, Body, Demand, Frame, Grant, Heartbeat, MAX_DATAGRAM_BYTES, Replica,
    Serving, Stamp,
};
use machine::{at, name};

const PROXIES: u64 = 300;
const GROUPS: u64 = 700;
const INSTANCES_PER_GROUP: u64 = 3;
const DOMAINS: [&str; 4] = ["north", "south", "east", "west"];
const HEARTBEAT_MS: u64 = 150;

/// How often the whole table may travel to a proxy while the fleet starts: once as it is announced, once as primaries
/// and serving proxies are decided, and once more for shares that move.
const MAX_TABLES_SENT: usize = 4;

fn domain(number: u64) -> id::Domain {
    name(DOMAINS[number as usize % DOMAINS.len()])
}

fn group(number: u64) -> id::Group {
    name(&format!("db{number:04x}x{:06x}", number * 7_919 % 0xff_ffff))
}

fn announcement(number: u64, sequence: u64) -> Announcement {
    let instance =
        name(&format!("i-{:010x}", number.wrapping_mul(0x9e37_79b9_7f4a) % 0xff_ffff_ffff));
    let address = ([10, 1, (number >> 8) as u8, number as u8], 5432).into();
    let group = group(number / INSTANCES_PER_GROUP);
    Announcement {
        replica: Replica { group, instance, address, domain: domain(number) },
        born: id::Incarnation(1),
        sequence: id::Sequence(sequence),
        standing: Availability::Ready,
    }
}

fn declarations() -> Fleet {
    let mut text = "[class.c]\npriority = 0\ndeadline = \"1s\"\n".to_owned();
    for number in 0..GROUPS {
        text += &format!(
            "[group.{}]\ninstances = 3\nslots = 2\nconnections = 33\nconnect_time = \"10ms\"\n\
             default_class = \"c\"\n",
            group(number)
        );
    }
    Fleet::parse("fleet", &text).expect("valid declarations")
}

/// A proxy, reduced to its fence, and the bytes that it was sent.
struct Proxy {
    node: id::Node,
    number: u64,
    fence: Fence,
    received: usize,
}

impl Proxy {
    fn new(number: u64) -> Self {
        let fence = Fence::new(id::Incarnation(1));
        Self { node: name(&format!("edge-{number:03}")), number, fence, received: 0 }
    }

    fn heartbeat(&mut self, ms: u64) -> Heartbeat {
        let sequence = self.fence.record_heartbeat(at(ms));
        let (seen, table, revision) = self.fence.newest();
        let route = |route: &cactushatch::wire::Route| Demand {
            group: route.group.clone(),
            wanted: 1,
            open: 0,
            share: route.share,
        };
        Heartbeat {
            sequence,
            domain: domain(self.number),
            address: ([10, 2, (self.number >> 8) as u8, self.number as u8], 7440).into(),
            admin: ([10, 2, (self.number >> 8) as u8, self.number as u8], 7441).into(),
            seen,
            table,
            revision,
            sightings: Vec::new(),
            demand: self
                .fence
                .table()
                .routes()
                .filter(|known| known.share > 0)
                .map(route)
                .collect(),
            quota: Vec::new(),
            positions: Vec::new(),
            draining: false,
            forwards: true,
        }
    }

    fn receive(&mut self, grant: Grant) {
        let (sender, incarnation) = (name("control-1"), id::Incarnation(1));
        let frame = Frame { sender, incarnation, body: Body::Grant(grant.clone()) };
        let bytes = frame.encode().expect("a grant within the bounds of a frame").len();
        assert!(bytes <= MAX_DATAGRAM_BYTES, "a grant of {bytes} bytes fits no datagram");
        self.received += bytes;
        self.fence.step(grant);
    }

    /// Returns whether the proxy holds a lease and knows which proxies serve each group.
    fn is_complete(&self, ms: u64) -> bool {
        let decided = |number| *self.fence.table().serving(&group(number)) != Serving::Undecided;
        self.fence.is_leased(at(ms)) && (0..GROUPS).all(decided)
    }
}

/// The control plane's leader with its replicated state.
struct Control {
    state: State,
    fleet: Fleet,
    leader: Leader,
    stamp: Stamp,
}

impl Control {
    fn commit(&mut self, ms: u64, actions: impl IntoIterator<Item = Action>) {
        for action in actions {
            self.stamp.index = self.stamp.index.next();
            self.state.apply(&Command { origin: None, action });
        }
        self.leader.refresh_table(at(ms), &self.state, &self.fleet);
    }

    fn exchange(&mut self, ms: u64, proxy: &mut Proxy) {
        let heartbeat = proxy.heartbeat(ms);
        let holder = (proxy.node.clone(), id::Incarnation(1));
        let (state, stamp) = (&self.state, self.stamp);
        self.leader.confirm_leadership(at(ms));
        let grant = self.leader.handle_heartbeat(at(ms), holder, &heartbeat, (state, stamp));
        if let Some(grant) = grant {
            proxy.receive(grant);
        }
    }
}

/// Returns a leader that has just learned of these proxies and of all groups, each with its first primary.
fn started_control(proxies: &[Proxy]) -> Control {
    let (state, fleet) = (State::default(), declarations());
    let leader = Leader::new(at(0), &state, &fleet);
    let stamp = Stamp { term: id::Term(1), index: id::Index(1) };
    let mut control = Control { state, fleet, leader, stamp };
    let register = |proxy: &Proxy| Action::Register {
        node: proxy.node.clone(),
        incarnation: id::Incarnation(1),
        domain: domain(proxy.number),
    };
    control.commit(0, proxies.iter().map(register).collect::<Vec<_>>());
    let instances = GROUPS * INSTANCES_PER_GROUP;
    control.commit(0, (0..instances).map(|number| Action::Announce(announcement(number, 1))));
    let promote = |number| Action::Promote {
        group: group(number),
        term: id::Term(1),
        primary: announcement(number * INSTANCES_PER_GROUP, 1).replica.instance,
        start: id::Position(0),
    };
    control.commit(10, (0..GROUPS).map(promote));
    control
}

/// A proxy behind a narrow link repeats its heartbeat while a part of the table is still on its way to it. Copies of the
/// part would fill the link, and no part would arrive within a lease.
#[test]
fn a_long_part_of_the_table_is_not_sent_again_while_it_is_on_its_way() {
    let mut proxies = [Proxy::new(0)];
    let mut control = started_control(&proxies);
    let mut answered = Vec::new();
    for ms in (20..1_500).step_by(50) {
        let heartbeat = proxies[0].heartbeat(ms);
        let holder = (proxies[0].node.clone(), id::Incarnation(1));
        control.leader.confirm_leadership(at(ms));
        let state = (&control.state, control.stamp);
        let grant = control.leader.handle_heartbeat(at(ms), holder, &heartbeat, state);
        if grant.is_some_and(|grant| grant.delta.is_some()) {
            answered.push(ms);
        }
    }
    assert_eq!(answered, [20, 320, 920], "the delay before a repeat doubles");
}

#[test]
fn each_proxy_of_a_large_fleet_gets_the_whole_table_in_datagrams() {
    let mut proxies: Vec<Proxy> = (0..PROXIES).map(Proxy::new).collect();
    let mut control = started_control(&proxies);
    let mut completed_ms = None;
    for ms in (20..8_000).step_by(10) {
        control.leader.tick(at(ms), &control.state, &control.fleet);
        for proxy in &mut proxies {
            // A grant without a lease brings a part of the table, and is acknowledged at once.
            let is_due = (ms / 10 + proxy.number) % (HEARTBEAT_MS / 10) == 0;
            if is_due || !proxy.fence.is_leased(at(ms)) {
                control.exchange(ms, proxy);
            }
        }
        if proxies.iter().all(|proxy| proxy.is_complete(ms)) {
            completed_ms = Some(ms);
            break;
        }
    }
    assert!(completed_ms.is_some(), "not every proxy got the whole table within 8 s");

    let routes: Vec<_> = proxies[0].fence.table().routes().cloned().collect();
    let table = postcard::to_stdvec(&routes).expect("encodable").len();
    let most = proxies.iter().map(|proxy| proxy.received).max().expect("proxies");
    assert!(most <= MAX_TABLES_SENT * table, "{most} bytes were sent for a table of {table}");

    // A fleet at rest is sent nothing but its leases.
    let rest = |proxies: &[Proxy]| proxies.iter().map(|proxy| proxy.received).sum::<usize>();
    let start = completed_ms.expect("checked above");
    for ms in (start..start + 6_000).step_by(10) {
        control.leader.tick(at(ms), &control.state, &control.fleet);
        for proxy in &mut proxies {
            if (ms / 10 + proxy.number) % (HEARTBEAT_MS / 10) == 0 {
                control.exchange(ms, proxy);
            }
        }
    }
    let before = rest(&proxies);
    for round in 0..10 {
        for proxy in &mut proxies {
            control.exchange(start + 6_000 + round * HEARTBEAT_MS, proxy);
        }
    }
    let each = (rest(&proxies) - before) / (10 * PROXIES as usize);
    assert!(each <= 128, "a grant to a proxy at rest has {each} bytes");
}

/// Groups with an input run first, and each settled one runs within a bounded number of ticks.
#[test]
fn a_tick_runs_a_bounded_number_of_groups_and_leaves_none_out() {
    let groups: BTreeMap<id::Group, ()> = (0..GROUPS).map(|number| (group(number), ())).collect();
    let mut rotation = Rotation::default();
    let mut last_run: BTreeMap<id::Group, u64> = BTreeMap::new();
    for tick in 0..200 {
        let due = group(tick * 13 % GROUPS);
        rotation.add(&due);
        let turns = rotation.next(&groups);
        assert!(turns.len() <= MAX_TURNS);
        assert!(turns.contains(&due), "a group with an input runs in the next tick");
        for turn in turns {
            last_run.insert(turn, tick);
        }
    }
    assert_eq!(last_run.len(), groups.len());
    assert!(last_run.values().all(|tick| *tick >= 200 - 2 * GROUPS / 32));
}

#[test]
fn a_follower_passes_on_what_changes_and_the_rest_rarely() {
    let instances = GROUPS * INSTANCES_PER_GROUP;
    let mut state = State::default();
    for number in 0..instances {
        let action = Action::Announce(announcement(number, 1));
        state.apply(&Command { origin: None, action });
    }
    let mut refreshes = Refreshes::default();
    let mut relayed = 0;
    let mut announce = |ms: u64, term: u64, announcement: &Announcement| {
        let term = id::Term(term);
        let is_recent = refreshes.is_recent(at(ms), term, announcement, &state);
        if !is_recent {
            refreshes.record(at(ms), term, &announcement.replica.instance, &state);
            relayed += 1;
        }
        is_recent
    };
    let period_ms = 12_000;
    for ms in (0..period_ms).step_by(1_200) {
        for number in 0..instances {
            announce(ms, 1, &announcement(number, 2 + ms));
        }
    }
    let leaving = Announcement { standing: Availability::Leaving, ..announcement(5, 20_000) };
    assert!(!announce(period_ms, 1, &leaving), "a change is always passed on");
    assert!(!announce(period_ms, 2, &announcement(7, 20_000)), "a new leader has heard of none");
    let most = instances
        * (Duration::from_millis(period_ms).div_duration_f64(REFRESH_INTERVAL) as u64 + 1);
    assert!(relayed <= most + 2, "{relayed} of {} announcements were passed on", instances * 10);
}
