//! Replication between stand-ins. A follower sends its position and term history; the primary answers with the
//! position up to which both logs agree. The follower truncates its log there, receives the records after it in
//! batches, and acknowledges each batch with its new position.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use cactushatch::wire::Role;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::instance::Instance;
use super::journal::Record;

/// The time between attempts of a follower to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);

const MAX_BATCH_RECORDS: usize = 500;

/// The first message of a follower.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    name: String,
    domain: String,
    received: u64,
    history: Vec<(u64, u64)>,
}

/// The primary's answer to `Hello`; the follower truncates its log after `keep`.
#[derive(Debug, Serialize, Deserialize)]
struct Welcome {
    term: u64,
    history: Vec<(u64, u64)>,
    keep: u64,
}

/// The next records of the log.
#[derive(Debug, Serialize, Deserialize)]
struct Batch {
    records: Vec<Record>,
}

/// Starts the threads that serve followers, follow a primary, and apply received records.
pub fn spawn(instance: &Arc<Instance>) -> anyhow::Result<()> {
    let mut address = instance.settings.listen;
    address.set_port(address.port() + 1);
    let listener = TcpListener::bind(address)?;
    let server = Arc::clone(instance);
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let instance = Arc::clone(&server);
            std::thread::spawn(move || {
                let _ = serve_follower(&instance, socket);
            });
        }
    });
    let applier = Arc::clone(instance);
    std::thread::spawn(move || {
        if let Err(error) = applier.journal.apply_forever(|| applier.faults.lag()) {
            log::error!("apply thread ended, no more records are applied: {error}");
        }
    });
    let follower = Arc::clone(instance);
    std::thread::spawn(move || {
        loop {
            if let Some(primary) = follower.followed_primary() {
                let _ = follow(&follower, primary);
            }
            std::thread::sleep(RECONNECT_INTERVAL);
        }
    });
    Ok(())
}

/// Receives records from `primary` until another primary is to be followed or the connection fails.
fn follow(instance: &Instance, primary: SocketAddr) -> anyhow::Result<()> {
    let mut address = primary;
    address.set_port(address.port() + 1);
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    instance.set_replication_socket(socket.try_clone()?);
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(Duration::from_secs(1)))?;
    let hello = {
        let log = instance.journal.log.lock().unwrap();
        Hello {
            name: instance.settings.instance.to_string(),
            domain: instance.settings.domain.to_string(),
            received: log.received_position(),
            history: log.history.clone(),
        }
    };
    write_message(&mut socket, &hello)?;
    let welcome: Welcome = read_message(&mut socket)?;
    instance.journal.rewind(welcome.keep, welcome.term, welcome.history)?;
    while instance.followed_primary() == Some(primary) {
        let batch: Batch = read_message(&mut socket)?;
        for record in batch.records {
            if !instance.journal.receive(record) {
                return Ok(());
            }
        }
        let received = instance.journal.log.lock().unwrap().received_position();
        write_message(&mut socket, &received)?;
    }
    Ok(())
}

/// Sends records to a follower while this instance serves followers in the same term and generation.
fn serve_follower(instance: &Instance, mut socket: TcpStream) -> anyhow::Result<()> {
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(Duration::from_secs(2)))?;
    let hello: Hello = read_message(&mut socket)?;
    let (welcome, generation) = {
        let log = instance.journal.log.lock().unwrap();
        if log.role != Role::Primary && !log.demoted {
            return Ok(());
        }
        let keep = common_position(&hello, &log.history, log.received_position());
        (Welcome { term: log.term, history: log.history.clone(), keep }, log.generation)
    };
    let mut sent = welcome.keep;
    write_message(&mut socket, &welcome)?;
    loop {
        let records = next_batch(instance, sent, (welcome.term, generation));
        let Some(records) = records else {
            return Ok(());
        };
        if instance.faults.is_cut(&hello.domain) {
            return Ok(());
        }
        std::thread::sleep(instance.settings.delay);
        sent += records.len() as u64;
        write_message(&mut socket, &Batch { records })?;
        let follower_position: u64 = read_message(&mut socket)?;
        let mut log = instance.journal.log.lock().unwrap();
        log.followers.retain(|follower| follower.0 != hello.name);
        log.followers.push((hello.name.clone(), follower_position));
        instance.journal.changed.notify_all();
    }
}

/// Waits for records after `sent`; returns an empty batch as a keepalive if there are none. Returns `None` once
/// the instance no longer serves followers, or its term and generation are no longer `expected`.
fn next_batch(instance: &Instance, sent: u64, expected: (u64, u64)) -> Option<Vec<Record>> {
    let log = instance.journal.log.lock().unwrap();
    let keepalive_interval = Duration::from_millis(200);
    let (log, _) = instance
        .journal
        .changed
        .wait_timeout_while(log, keepalive_interval, |log| {
            log.received_position() <= sent && (log.term, log.generation) == expected
        })
        .unwrap();
    let serves_followers = log.role == Role::Primary || log.demoted;
    if !serves_followers || (log.term, log.generation) != expected {
        return None;
    }
    Some(log.records.iter().skip(sent as usize).take(MAX_BATCH_RECORDS).cloned().collect())
}

/// Returns the position up to which the follower and the primary have the same log.
fn common_position(hello: &Hello, history: &[(u64, u64)], received: u64) -> u64 {
    let common_terms = hello.history.iter().zip(history).take_while(|(a, b)| a == b).count();
    let follower_fork = hello.history.get(common_terms).map_or(u64::MAX, |next| next.1);
    let primary_fork = history.get(common_terms).map_or(u64::MAX, |next| next.1);
    hello.received.min(received).min(follower_fork).min(primary_fork)
}

fn write_message(socket: &mut TcpStream, value: &impl Serialize) -> anyhow::Result<()> {
    let body = postcard::to_stdvec(value)?;
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Ok(socket.write_all(&bytes)?)
}

fn read_message<T: DeserializeOwned>(socket: &mut TcpStream) -> anyhow::Result<T> {
    let mut header = [0; 4];
    socket.read_exact(&mut header)?;
    let mut body = vec![0; u32::from_be_bytes(header) as usize];
    socket.read_exact(&mut body)?;
    Ok(postcard::from_bytes(&body)?)
}
