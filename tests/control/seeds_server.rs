//! Control processes with their sockets that know each other by seeds only.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::config::Settings;
use cactushatch::control::state::{Declaration, Outcome};
use cactushatch::control::{Server, spawn_on};
use cactushatch::id;
use cactushatch::wire::Answer;

use crate::disk::{Fault, Memory};

const PATIENCE: Duration = Duration::from_secs(10);

/// Processes on one address of the loopback range each, with the same ports, as VMs have.
struct Fleet {
    /// The second byte of the addresses, so that tests don't meet.
    net: u8,
    port: u16,
    seeds: Vec<u8>,
}

impl Fleet {
    fn new(net: u8, seeds: &[u8]) -> Self {
        let free =
            TcpListener::bind((std::net::Ipv4Addr::new(127, net, 0, 1), 0)).expect("a free port");
        let port = free.local_addr().expect("an address").port();
        Self { net, port, seeds: seeds.to_vec() }
    }

    fn settings(&self, host: u8, first_start: bool) -> Settings {
        let (net, port) = (self.net, self.port);
        let hosts: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"127.{net}.0.{seed}:1\"")).collect();
        let text = format!(
            "node = \"control-{host}\"\ndomain = \"a\"\ndata = \"unused\"\n\
             [seeds]\nhosts = [{}]\nport = {port}\nfirst_start = {first_start}\nlosses = 1\n\
             [control]\naddress = \"127.{net}.0.{host}:{port}\"\nadmin = \"127.{net}.1.{host}:{port}\"\n",
            hosts.join(", ")
        );
        Settings::parse("settings", &text).expect("valid settings")
    }

    fn start(&self, host: u8, first_start: bool, disk: &Memory) -> Server {
        let settings = self.settings(host, first_start);
        smol::block_on(spawn_on(Clock::system(), &settings, disk.clone())).expect("it starts")
    }
}

impl Fleet {
    /// Starts the process of `host` at the address of another one, since the old one's sockets linger in this process.
    fn start_again(&self, host: u8, at: u8, disk: Memory) -> Server {
        let node: id::Node = format!("control-{host}").parse().expect("a name");
        let settings = Settings { node, ..self.settings(at, false) };
        smol::block_on(spawn_on(Clock::system(), &settings, disk)).expect("it starts")
    }
}

fn until(what: &str, mut met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !met() {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn declare(server: &Server, edition: u64) -> Answer {
    declare_text(server, edition, "[class.c]\npriority = 0\ndeadline = \"1s\"\n".to_owned())
}

fn declare_text(server: &Server, edition: u64, text: String) -> Answer {
    let (edition, source) = (id::Edition(edition), edition.to_string());
    smol::block_on(server.declare(Declaration { edition, text, source }))
}

/// Returns declarations with this many classes.
fn classes(count: usize) -> String {
    let class = |number| format!("[class.c{number}]\npriority = 0\ndeadline = \"1s\"\n");
    (0..count).map(class).collect()
}

/// Returns who votes and who learns by a process's own view.
fn members(server: &Server) -> (Vec<String>, Vec<String>) {
    let members = server.members();
    let names = |names: Vec<&id::Node>| names.into_iter().map(ToString::to_string).collect();
    (names(members.voters.keys().collect()), names(members.learners.keys().collect()))
}

#[test]
fn seeds_found_the_system_and_take_in_who_comes_later() {
    let fleet = Fleet::new(71, &[1, 2, 3]);
    let disks: Vec<Memory> = (0..5).map(|_| Memory::default()).collect();
    let mut servers: Vec<Server> =
        (1..=4).map(|host| fleet.start(host, true, &disks[usize::from(host) - 1])).collect();
    until("a leader", || servers.iter().any(Server::leads));
    assert!(matches!(declare(&servers[3], 7), Answer::Applied(_)), "a process without a vote");
    until("the fourth learns", || members(&servers[0]).1 == ["control-4"]);
    until("the fourth has the state", || servers[3].state().declared.is_some());
    let read = smol::block_on(servers[3].declarations()).expect("a leader answers");
    assert_eq!(read.map(|declared| declared.edition), Some(id::Edition(7)));

    // A voter ends for good; the spare takes its seat.
    let gone = servers.iter().position(Server::leads).expect("one leads");
    servers[gone].end();
    until("the spare votes", || {
        let others = servers.iter().enumerate().filter(|(at, _)| *at != gone);
        others
            .map(|(_, server)| members(server).0)
            .all(|voters| voters.len() == 3 && !voters.contains(&format!("control-{}", gone + 1)))
    });
    servers.push(fleet.start(5, false, &disks[4]));
    until("a new one learns", || servers[4].state().declared.is_some());
}

/// A disk that fails or is full for a while: nothing is acknowledged meanwhile, and the process takes part again by
/// itself afterwards, with what it had acknowledged.
#[test]
fn a_voter_takes_part_again_once_its_disk_is_sound() {
    for (net, fault) in [(72, Fault::Full), (73, Fault::Sync)] {
        let fleet = Fleet::new(net, &[1]);
        let disk = Memory::default();
        let server = fleet.start(1, true, &disk);
        until("a leader", || server.leads());
        assert!(matches!(declare(&server, 7), Answer::Applied(_)));
        disk.set_fault(Some(fault));
        assert!(!matches!(declare(&server, 8), Answer::Applied(_)), "{fault:?}");
        assert!(!server.leads(), "{fault:?}");
        disk.set_fault(None);
        until("it leads again", || server.leads());
        let read = smol::block_on(server.declarations()).expect("it leads");
        let edition = read.expect("something was declared").edition;
        assert!(edition >= id::Edition(7), "{fault:?}: {edition}");
        assert!(matches!(declare(&server, 9), Answer::Applied(_)));
        // What is acknowledged from now on outlives a loss of power.
        server.end();
        disk.lose_power();
        let server = fleet.start_again(1, 2, disk);
        until("it leads after the loss of power", || server.leads());
        let read = smol::block_on(server.declarations()).expect("it leads");
        assert_eq!(read.map(|declared| declared.edition), Some(id::Edition(9)), "{fault:?}");
    }
}

#[test]
fn invalid_declarations_are_refused_and_change_nothing() {
    let fleet = Fleet::new(74, &[1]);
    let server = fleet.start(1, true, &Memory::default());
    until("a leader", || server.leads());
    assert!(matches!(declare(&server, 7), Answer::Applied(Outcome::Done { .. })));
    let before = server.state();
    let soon = "[class.c]\npriority = 0\ndeadline = \"soon\"\n".to_owned();
    let answer = declare_text(&server, 8, soon);
    assert!(matches!(answer, Answer::Applied(Outcome::Refused { .. })), "{answer:?}");
    assert_eq!(server.state(), before);
}

/// A start applies all changes that the log holds, and only the newest declarations matter then.
#[test]
fn a_start_after_many_large_changes_leads_soon() {
    /// For the election, and for reading the declarations once on a slow machine.
    const SOON: Duration = Duration::from_millis(2_000);
    let fleet = Fleet::new(75, &[1]);
    let disk = Memory::default();
    let server = fleet.start(1, true, &disk);
    until("a leader", || server.leads());
    let text = classes(4_000);
    for edition in 1..=80 {
        let answer = declare_text(&server, edition, text.clone());
        assert!(matches!(answer, Answer::Applied(Outcome::Done { .. })));
    }
    server.end();
    let start = Instant::now();
    let server = fleet.start_again(1, 2, disk);
    until("it leads again", || server.leads());
    let took = start.elapsed();
    assert!(took < SOON, "{took:?}");
    assert_eq!(server.state().declared.map(|declared| declared.edition), Some(id::Edition(80)));
}
