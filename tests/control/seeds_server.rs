//! Control processes with sockets that know each other only by seeds.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::config::Settings;
use cactushatch::control::state::{Declaration, Outcome};
use cactushatch::control::{Server, spawn_with_disk};
use cactushatch::id;
use cactushatch::wire::Answer;

use crate::disk::{Fault, Memory};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Processes with one loopback address each and the same port, as on separate VMs.
struct Network {
    /// The second byte of the addresses, which keeps tests apart.
    subnet: u8,
    port: u16,
    seeds: Vec<u8>,
}

impl Network {
    fn new(subnet: u8, seeds: &[u8]) -> Self {
        let free = TcpListener::bind((std::net::Ipv4Addr::new(127, subnet, 0, 1), 0))
            .expect("a free port");
        let port = free.local_addr().expect("an address").port();
        Self { subnet, port, seeds: seeds.to_vec() }
    }

    fn settings(&self, host: u8, first_start: bool) -> Settings {
        let (subnet, port) = (self.subnet, self.port);
        let hosts: Vec<String> =
            self.seeds.iter().map(|seed| format!("\"127.{subnet}.0.{seed}:1\"")).collect();
        let text = format!(
            "node = \"control-{host}\"\ndomain = \"a\"\ndata = \"unused\"\n\
             [seeds]\nhosts = [{}]\nport = {port}\nfirst_start = {first_start}\nlosses = 1\n\
             [control]\naddress = \"127.{subnet}.0.{host}:{port}\"\nadmin = \"127.{subnet}.1.{host}:{port}\"\n",
            hosts.join(", ")
        );
        Settings::parse("settings", &text).expect("valid settings")
    }

    fn start(&self, host: u8, first_start: bool, disk: &Memory) -> Server {
        let settings = self.settings(host, first_start);
        smol::block_on(spawn_with_disk(Clock::system(), &settings, disk.clone()))
            .expect("the process starts")
    }
}

impl Network {
    /// Restarts the process of `host` at the address `at` of another one, since the old process's sockets stay open in
    /// this test process.
    fn restart_at(&self, host: u8, at: u8, disk: Memory) -> Server {
        let node: id::Node = format!("control-{host}").parse().expect("a name");
        let settings = Settings { node, ..self.settings(at, false) };
        smol::block_on(spawn_with_disk(Clock::system(), &settings, disk))
            .expect("the process starts")
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
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

/// Returns declarations with `count` classes.
fn declarations_with_classes(count: usize) -> String {
    let class = |number| format!("[class.c{number}]\npriority = 0\ndeadline = \"1s\"\n");
    (0..count).map(class).collect()
}

/// Returns the names of the voters and of the learners known to a process.
fn members(server: &Server) -> (Vec<String>, Vec<String>) {
    let members = server.members();
    let names = |names: Vec<&id::Node>| names.into_iter().map(ToString::to_string).collect();
    (names(members.voters.keys().collect()), names(members.learners.keys().collect()))
}

#[test]
fn seeds_create_the_system_and_later_processes_are_added() {
    let network = Network::new(71, &[1, 2, 3]);
    let disks: Vec<Memory> = (0..5).map(|_| Memory::default()).collect();
    let mut servers: Vec<Server> =
        (1..=4).map(|host| network.start(host, true, &disks[usize::from(host) - 1])).collect();
    wait_until("there is a leader", || servers.iter().any(Server::is_confirmed_leader));
    assert!(
        matches!(declare(&servers[3], 7), Answer::Applied(_)),
        "a command through a process without a vote failed"
    );
    wait_until("the fourth process is a learner", || members(&servers[0]).1 == ["control-4"]);
    wait_until("the fourth process has the state", || servers[3].state().declared.is_some());
    let read = smol::block_on(servers[3].declarations()).expect("the leader answers");
    assert_eq!(read.map(|declared| declared.edition), Some(id::Edition(7)));

    // A voter stops permanently; the learner replaces it.
    let gone =
        servers.iter().position(Server::is_confirmed_leader).expect("one process is the leader");
    servers[gone].stop();
    wait_until("the learner votes", || {
        let others = servers.iter().enumerate().filter(|(at, _)| *at != gone);
        others
            .map(|(_, server)| members(server).0)
            .all(|voters| voters.len() == 3 && !voters.contains(&format!("control-{}", gone + 1)))
    });
    servers.push(network.start(5, false, &disks[4]));
    wait_until("a new process has the state", || servers[4].state().declared.is_some());
}

/// A disk fails or is full for a while. Nothing is acknowledged meanwhile, and afterwards the process participates again
/// by itself, with everything that it had acknowledged.
#[test]
fn a_voter_participates_again_once_its_disk_works() {
    for (subnet, fault) in [(72, Fault::Full), (73, Fault::Sync)] {
        let network = Network::new(subnet, &[1]);
        let disk = Memory::default();
        let server = network.start(1, true, &disk);
        wait_until("there is a leader", || server.is_confirmed_leader());
        assert!(matches!(declare(&server, 7), Answer::Applied(_)));
        disk.set_fault(Some(fault));
        assert!(!matches!(declare(&server, 8), Answer::Applied(_)), "{fault:?}");
        assert!(!server.is_confirmed_leader(), "{fault:?}");
        disk.set_fault(None);
        wait_until("the process leads again", || server.is_confirmed_leader());
        let read = smol::block_on(server.declarations()).expect("the process is the leader");
        let edition = read.expect("declarations are in force").edition;
        assert!(edition >= id::Edition(7), "{fault:?}: {edition}");
        assert!(matches!(declare(&server, 9), Answer::Applied(_)));
        // What is acknowledged from now on survives a power loss.
        server.stop();
        disk.lose_power();
        let server = network.restart_at(1, 2, disk);
        wait_until("the process leads after the power loss", || server.is_confirmed_leader());
        let read = smol::block_on(server.declarations()).expect("the process is the leader");
        assert_eq!(read.map(|declared| declared.edition), Some(id::Edition(9)), "{fault:?}");
    }
}

#[test]
fn invalid_declarations_are_refused_and_change_nothing() {
    let network = Network::new(74, &[1]);
    let server = network.start(1, true, &Memory::default());
    wait_until("there is a leader", || server.is_confirmed_leader());
    assert!(matches!(declare(&server, 7), Answer::Applied(Outcome::Done { .. })));
    let before = server.state();
    let soon = "[class.c]\npriority = 0\ndeadline = \"soon\"\n".to_owned();
    let answer = declare_text(&server, 8, soon);
    assert!(matches!(answer, Answer::Applied(Outcome::Refused { .. })), "{answer:?}");
    assert_eq!(server.state(), before);
}

/// A start applies all changes in the log, but only the newest declarations have to be parsed. Parsing each of them
/// would delay the start.
#[test]
fn a_process_leads_soon_after_a_start_with_many_large_changes_in_its_log() {
    /// Allows for the election, and for parsing the declarations once on a slow machine.
    const START_TIMEOUT: Duration = Duration::from_millis(2_000);
    let network = Network::new(75, &[1]);
    let disk = Memory::default();
    let server = network.start(1, true, &disk);
    wait_until("there is a leader", || server.is_confirmed_leader());
    let text = declarations_with_classes(4_000);
    for edition in 1..=80 {
        let answer = declare_text(&server, edition, text.clone());
        assert!(matches!(answer, Answer::Applied(Outcome::Done { .. })));
    }
    server.stop();
    let start = Instant::now();
    let server = network.restart_at(1, 2, disk);
    wait_until("the process leads again", || server.is_confirmed_leader());
    let duration = start.elapsed();
    assert!(duration < START_TIMEOUT, "{duration:?}");
    assert_eq!(server.state().declared.map(|declared| declared.edition), Some(id::Edition(80)));
}
