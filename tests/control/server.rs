//! Voters with sockets, all in one process, on disks with injected faults.

use std::fs::Permissions;
use std::net::{Ipv4Addr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::config::{self, Settings};
use cactushatch::control::operator::{Part, Status};
use cactushatch::control::state::{Action, Command, Intent, Membership, Origin, Outcome, Voter};
use cactushatch::control::{Server, spawn_with_disk};
use cactushatch::id;
use cactushatch::wire::{Answer, Body, Frame, Stream};

use crate::disk::{Fault, Memory};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

struct Voters {
    servers: Vec<Server>,
    disks: Vec<Memory>,
    addresses: Vec<String>,
    settings: Vec<Settings>,
}

impl Voters {
    fn start(count: usize) -> Self {
        Self::start_with_settings(count, "")
    }

    /// Starts voters with additional settings.
    fn start_with_settings(count: usize, extra: &str) -> Self {
        let free = free_addresses(2 * count);
        let voter = |n: usize| {
            let (address, admin) = (&free[2 * n], &free[2 * n + 1]);
            format!(
                "{{ node = \"control-{n}\", domain = \"a\", address = \"{address}\", \
                 admin = \"{admin}\" }}"
            )
        };
        let voters: Vec<String> = (0..count).map(voter).collect();
        let settings = |n: usize| {
            let text = format!(
                "node = \"control-{n}\"\ndomain = \"a\"\ndata = \"unused\"\nvoters = [{}]\n\
                 [control]\naddress = \"{}\"\nadmin = \"{}\"\n{extra}",
                voters.join(", "),
                free[2 * n],
                free[2 * n + 1]
            );
            Settings::parse("settings", &text).unwrap()
        };
        let settings: Vec<Settings> = (0..count).map(settings).collect();
        let disks = vec![(); count].into_iter().map(|()| Memory::default()).collect::<Vec<_>>();
        let addresses = (0..count).map(|n| free[2 * n].clone()).collect();
        let start = |n: usize| spawn_with_disk(Clock::system(), &settings[n], disks[n].clone());
        let servers = (0..count).map(|n| smol::block_on(start(n)).unwrap()).collect();
        Self { servers, disks, addresses, settings }
    }

    /// Starts another process, whose settings name the existing voters and itself.
    fn start_new_process(&mut self) -> config::Voter {
        let mut settings = self.settings[0].clone();
        let free = free_addresses(2);
        let (address, admin) = (free[0].parse().unwrap(), free[1].parse().unwrap());
        let node: id::Node = "control-new".parse().unwrap();
        let voter =
            config::Voter { node: node.clone(), address, admin, ..settings.voters[0].clone() };
        settings.node = node;
        settings.voters.push(voter.clone());
        let control = settings.control.as_mut().unwrap();
        (control.address, control.admin) = (address, admin);
        let disk = Memory::default();
        let start = spawn_with_disk(Clock::system(), &settings, disk.clone());
        self.servers.push(smol::block_on(start).unwrap());
        self.disks.push(disk);
        self.settings.push(settings);
        voter
    }

    /// Plans and confirms a change through the first process.
    fn plan_and_confirm(&self, name: &str, intent: Intent) {
        let base = self.servers[0].state().revision;
        let plan: id::Plan = format!("plan-{name}").parse().unwrap();
        let action = Action::Plan { plan, base, intent, made_ms: 1_000 };
        self.submit(0, Command { origin: origin(&format!("p-{name}"), name), action });
        let answer = self.submit(0, confirm(name));
        assert!(matches!(answer, Answer::Applied(Outcome::Done { .. })), "{answer:?}");
    }

    /// Requests the status of a process until it satisfies `condition`.
    fn await_status(&self, at: usize, condition: impl Fn(&Status) -> bool) {
        let admin = self.settings[at].control.as_ref().unwrap().admin;
        let start = Instant::now();
        loop {
            let answer = smol::block_on(cactushatch::admin::get(admin, "/status"));
            let status = answer.ok().map(|body| serde_json::from_slice(&body).unwrap());
            if status.as_ref().is_some_and(&condition) {
                return;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "{status:?}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn leader(&self) -> usize {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(leader) = self.servers.iter().position(Server::is_confirmed_leader) {
                return leader;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("no voter became the leader in time");
    }

    /// Waits until every voter satisfies `condition`.
    fn await_all(&self, condition: impl Fn(&Server) -> bool) {
        let start = Instant::now();
        while !self.servers.iter().all(&condition) {
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "a voter did not satisfy the condition in time"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn submit(&self, at: usize, command: Command) -> Answer {
        smol::block_on(self.servers[at].submit(command))
    }
}

/// Returns loopback addresses with free ports.
/// Returns addresses on a loopback host of their own: on 127.0.0.1, a port that is free for a moment may be given to an outgoing
/// connection of another process before a voter binds it.
pub fn free_addresses(count: usize) -> Vec<String> {
    let host = Ipv4Addr::new(127, fastrand::u8(..), fastrand::u8(1..), fastrand::u8(1..u8::MAX));
    let bound: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((host, 0)).unwrap()).collect();
    bound.iter().map(|port| port.local_addr().unwrap().to_string()).collect()
}

fn origin(command: &str, operator: &str) -> Option<Origin> {
    Some(Origin { command: command.parse().unwrap(), operator: operator.parse().unwrap() })
}

fn plan(name: &str, base: u64) -> Command {
    let plan = format!("plan-{name}").parse().unwrap();
    let intent = Intent::Drain { instance: name.parse().unwrap() };
    let action = Action::Plan { plan, base: id::Revision(base), intent, made_ms: 1_000 };
    Command { origin: origin(&format!("p-{name}"), name), action }
}

fn confirm(name: &str) -> Command {
    let plan = format!("plan-{name}").parse().unwrap();
    Command {
        origin: origin(&format!("c-{name}"), name),
        action: Action::Confirm { plan, now_ms: 2_000 },
    }
}

#[test]
fn a_repeated_confirmation_gets_its_first_answer_from_another_voter() {
    let voters = Voters::start(3);
    let leader = voters.leader();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    voters.submit(first, plan("anna", 0));
    // The sender does not wait for the answer, as if it were lost.
    let sent = smol::block_on(async {
        let mut stream = Stream::connect(voters.addresses[leader].parse().unwrap()).await.unwrap();
        let frame = Frame {
            sender: "operator".parse().unwrap(),
            incarnation: id::Incarnation(0),
            body: Body::Submit(confirm("anna")),
        };
        stream.send(&frame).await
    });
    assert!(sent.is_ok());
    voters.await_all(|server| server.state().revision == id::Revision(1));
    voters.submit(first, plan("ben", 1));
    voters.submit(first, confirm("ben"));
    let answer = voters.submit(second, confirm("anna"));
    assert_eq!(answer, Answer::Applied(Outcome::Done { revision: id::Revision(1) }));
    voters.await_all(|server| server.state().revision == id::Revision(2));
}

#[test]
fn voters_with_sealed_frames_accept_commands_through_a_follower() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("keys");
    std::fs::write(&path, format!("1 {}\n", "5a".repeat(32))).unwrap();
    std::fs::set_permissions(&path, Permissions::from_mode(0o600)).unwrap();
    let voters =
        Voters::start_with_settings(3, &format!("[security]\nkeys = \"{}\"\n", path.display()));
    let leader = voters.leader();
    let answer = voters.submit((leader + 1) % 3, plan("anna", 0));
    assert!(matches!(answer, Answer::Applied(Outcome::Planned { .. })), "{answer:?}");
}

#[test]
fn an_operator_adds_a_voter_and_removes_another() {
    let mut voters = Voters::start(3);
    voters.leader();
    let new = voters.start_new_process();
    let learn = Voter {
        node: new.node.clone(),
        incarnation: id::Incarnation(0),
        address: new.address,
        domain: new.domain.clone(),
    };
    voters.plan_and_confirm("add", Intent::Member(Membership::Learn(learn)));
    let finished = |status: &Status| {
        let voter = status.voters.iter().find(|voter| voter.node == new.node);
        let admitted = voter.is_some_and(|voter| voter.part != Part::Learner && voter.current);
        admitted && status.wanted.is_empty()
    };
    voters.await_status(0, finished);
    let removed_node = voters.settings[1].node.clone();
    voters.plan_and_confirm("remove", Intent::Member(Membership::Remove(removed_node.clone())));
    let removed = |status: &Status| {
        status.voters.len() == 3 && status.voters.iter().all(|voter| voter.node != removed_node)
    };
    voters.await_status(2, removed);
    voters.await_status(3, removed);
}

#[test]
fn one_of_several_concurrent_confirmations_through_different_voters_succeeds() {
    let voters = Voters::start(3);
    voters.leader();
    let names = ["anna", "ben", "cleo"];
    for (at, name) in names.iter().enumerate() {
        voters.submit(at, plan(name, 0));
    }
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let submit = |(at, name): (usize, &&'static str)| {
            let (voters, command) = (&voters, confirm(name));
            scope.spawn(move || voters.submit(at, command))
        };
        let threads: Vec<_> = names.iter().enumerate().map(submit).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    let succeeded = |answer: &&Answer| matches!(answer, Answer::Applied(Outcome::Done { .. }));
    assert_eq!(answers.iter().filter(succeeded).count(), 1, "{answers:?}");
    let refused = |answer: &&Answer| match answer {
        Answer::Applied(Outcome::Refused { reason }) => reason.contains("put revision 1 in force"),
        _ => false,
    };
    assert_eq!(answers.iter().filter(refused).count(), 2, "{answers:?}");
}

#[test]
fn a_voter_whose_disk_is_full_or_fails_acknowledges_nothing_and_reports_the_reason() {
    for fault in [Fault::Full, Fault::Sync] {
        let voters = Voters::start(1);
        voters.leader();
        voters.submit(0, plan("anna", 0));
        voters.disks[0].set_fault(Some(fault));
        let answer = voters.submit(0, confirm("anna"));
        assert!(!matches!(answer, Answer::Applied(_)), "{fault:?}: {answer:?}");
        assert!(voters.servers[0].stop_reason().is_some(), "{fault:?}");
        assert!(!voters.servers[0].is_confirmed_leader(), "{fault:?}");
        assert_eq!(voters.servers[0].state().revision, id::Revision(0), "{fault:?}");
        voters.disks[0].set_fault(None);
        let later = voters.submit(0, plan("ben", 0));
        assert!(
            !matches!(later, Answer::Applied(_)),
            "{fault:?}: a stopped voter acknowledged a command: {later:?}"
        );
    }
}

#[test]
fn the_other_voters_continue_without_a_voter_whose_disk_fails() {
    let voters = Voters::start(3);
    let leader = voters.leader();
    voters.submit(leader, plan("anna", 0));
    voters.disks[leader].set_fault(Some(Fault::Full));
    let other = (leader + 1) % 3;
    let start = Instant::now();
    loop {
        let answer = voters.submit(other, confirm("anna"));
        if matches!(answer, Answer::Applied(Outcome::Done { .. })) {
            break;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{answer:?}");
    }
    assert!(voters.servers[leader].stop_reason().is_some());
}

#[test]
fn a_restart_after_a_thousand_changes_reads_a_bounded_amount_and_is_current() {
    let voters = Voters::start(1);
    voters.leader();
    for number in 0..1_000 {
        let name = format!("i-{number}");
        voters.submit(0, plan(&name, number));
        let answer = voters.submit(0, confirm(&name));
        let done = Outcome::Done { revision: id::Revision(number + 1) };
        assert_eq!(answer, Answer::Applied(done));
    }
    let state = voters.servers[0].state();
    let disk = voters.disks[0].copy();
    let node = &voters.settings[0].node;
    let (_, recovery) =
        cactushatch::control::store::Store::open_disk(disk, node, id::Incarnation(1), 1).unwrap();
    assert!(
        recovery.saved.entries.len() <= 1_024,
        "{} entries are read",
        recovery.saved.entries.len()
    );
    let snapshot = recovery.saved.snapshot.unwrap();
    let mut restarted: cactushatch::control::state::State =
        postcard::from_bytes(&snapshot.state).unwrap();
    recovery.saved.entries.iter().for_each(|entry| {
        restarted.apply(&entry.command);
    });
    assert_eq!(restarted, state);
    assert_eq!(restarted.revision, id::Revision(1_000));
}

#[test]
fn a_damaged_or_foreign_frame_ends_its_own_connection_only() {
    use std::io::{Read, Write};
    let voters = Voters::start(3);
    let leader = voters.leader();
    for bytes in [&[0xff_u8; 64][..], &[0, 0, 0, 3, 9, 9, 9], &[0, 0, 0, 2, 1, 0xff]] {
        let mut socket = std::net::TcpStream::connect(&voters.addresses[leader]).unwrap();
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        socket.write_all(bytes).unwrap();
        let ended = socket.read(&mut [0; 16]);
        assert!(!matches!(ended, Ok(1..)), "a damaged frame was answered");
    }
    let answer = voters.submit(leader, plan("anna", 0));
    assert!(matches!(answer, Answer::Applied(Outcome::Planned { .. })), "{answer:?}");
    assert_eq!(voters.leader(), leader);
}
