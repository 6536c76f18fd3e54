//! Voters whose open connections go silent while new ones work.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::config::Settings;
use cactushatch::control::state::{Action, Command};
use cactushatch::control::{Server, spawn_with_disk};
use cactushatch::id;
use cactushatch::wire::{Answer, Body, Frame, Stream};

use crate::disk::Memory;
use crate::relay::Relay;
use crate::server::free_addresses;

/// How soon after a silence an order is acknowledged again: well below the four seconds after which the platform counts
/// control as stable (`StableMs`).
const RECOVERY_BOUND: Duration = Duration::from_secs(3);

const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Three voters, each behind a relay.
struct Voters {
    servers: Vec<Server>,
    relays: Vec<Relay>,
}

impl Voters {
    fn start() -> Self {
        const COUNT: usize = 3;
        let free = free_addresses(3 * COUNT);
        let [bound, relayed, admin] = [0, 1, 2].map(|part| &free[part * COUNT..(part + 1) * COUNT]);
        let voter = |n: usize| {
            let (address, admin) = (&relayed[n], &admin[n]);
            format!(
                "{{ node = \"control-{n}\", domain = \"a\", address = \"{address}\", \
                 admin = \"{admin}\" }}"
            )
        };
        let voters: Vec<String> = (0..COUNT).map(voter).collect();
        let address = |text: &String| -> SocketAddr { text.parse().unwrap() };
        let start = |n: usize| {
            let text = format!(
                "node = \"control-{n}\"\ndomain = \"a\"\ndata = \"unused\"\nvoters = [{}]\n\
                 [control]\naddress = \"{}\"\nadmin = \"{}\"\n",
                voters.join(", "),
                relayed[n],
                admin[n]
            );
            let mut settings = Settings::parse("settings", &text).unwrap();
            let control = settings.control.as_mut().expect("the settings are those of control");
            control.address = address(&bound[n]);
            let starting = spawn_with_disk(Clock::system(), &settings, Memory::default());
            smol::block_on(starting).unwrap()
        };
        let relay = |n: usize| Relay::bind(address(&relayed[n]), address(&bound[n]));
        let relays = (0..COUNT).map(relay).collect();
        let voters = Self { servers: (0..COUNT).map(start).collect(), relays };
        voters.assert_commits(Instant::now(), START_TIMEOUT);
        voters
    }

    /// Makes the open connections to the first `count` voters go silent.
    fn silence(&self, count: usize) -> Instant {
        self.relays[..count].iter().for_each(Relay::silence);
        Instant::now()
    }

    /// Checks that a command given to any voter is committed within `bound` of `since`.
    fn assert_commits(&self, since: Instant, bound: Duration) {
        for (n, server) in self.servers.iter().enumerate() {
            loop {
                let noop = Command { origin: None, action: Action::Noop };
                let left = bound.saturating_sub(since.elapsed());
                let submitting = server.submit(noop);
                let answer = smol::block_on(Clock::system().timeout(left, submitting));
                match answer {
                    Some(Answer::Applied(_)) => break,
                    // The command was given to a leader that did not last.
                    Some(_) if since.elapsed() < bound => {}
                    answer => panic!("control-{n} has {answer:?} {:?} after it", since.elapsed()),
                }
            }
        }
    }
}

/// Guards against descriptors that are kept for connections which the other end has given up without this one being told.
#[test]
fn a_connection_that_carries_nothing_for_a_minute_is_closed() {
    let free = free_addresses(2);
    let text = format!(
        "node = \"control-0\"\ndomain = \"a\"\ndata = \"unused\"\nvoters = [{{ node = \"control-0\", \
         domain = \"a\", address = \"{0}\", admin = \"{1}\" }}]\n[control]\naddress = \"{0}\"\n\
         admin = \"{1}\"\n",
        free[0], free[1]
    );
    let settings = Settings::parse("settings", &text).unwrap();
    let clock = Clock::paused();
    let starting = spawn_with_disk(clock.clone(), &settings, Memory::default());
    let _server = smol::block_on(starting).unwrap();
    let ping = Frame {
        sender: "control-1".parse().unwrap(),
        incarnation: id::Incarnation(1),
        body: Body::Ping,
    };
    smol::block_on(async {
        let mut stream = Stream::connect(free[0].parse().unwrap()).await.unwrap();
        for _ in 0..3 {
            clock.advance(Duration::from_secs(59));
            stream.send(&ping).await.unwrap();
            assert_eq!(stream.receive().await.unwrap().body, Body::Ping);
        }
        // The process may not wait for the next frame yet when the time passes.
        let ended = async {
            loop {
                clock.advance(Duration::from_secs(61));
                Clock::system().sleep(Duration::from_millis(20)).await;
                if stream.is_closed().await {
                    return;
                }
            }
        };
        let ended = Clock::system().timeout(START_TIMEOUT, ended).await;
        assert!(ended.is_some(), "the connection is still open");
    });
}

/// Guards against review/7: each voter kept a silent connection because it heard the other one on another connection, and
/// no leader was found.
#[test]
fn commands_are_committed_after_all_connections_between_voters_went_silent() {
    let voters = Voters::start();
    for _ in 0..5 {
        let silent_at = voters.silence(3);
        voters.assert_commits(silent_at, RECOVERY_BOUND);
        std::thread::sleep(Duration::from_millis(300));
    }
}

/// Guards against a recovery that a second silence sets back: the new connections go silent while the voters recover.
#[test]
fn commands_are_committed_after_the_connections_went_silent_twice() {
    let voters = Voters::start();
    for _ in 0..3 {
        voters.silence(3);
        std::thread::sleep(Duration::from_millis(1_300));
        let silent_at = voters.silence(3);
        voters.assert_commits(silent_at, RECOVERY_BOUND);
    }
}

/// Guards against a voter that nobody reaches though it reaches the others.
#[test]
fn commands_are_committed_after_the_connections_to_some_voters_went_silent() {
    let voters = Voters::start();
    for count in [1, 2, 1, 2] {
        let silent_at = voters.silence(count);
        voters.assert_commits(silent_at, RECOVERY_BOUND);
        std::thread::sleep(Duration::from_millis(300));
    }
}
