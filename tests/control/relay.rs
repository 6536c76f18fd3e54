//! A relay in front of a process, whose open connections can go silent while new ones work.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Relays connections to one address until dropped.
#[derive(Debug)]
pub struct Relay {
    listen: SocketAddr,
    silences: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
}

impl Relay {
    /// Listens at `listen` and connects to `target` for each connection.
    pub fn bind(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).unwrap();
        let (silences, ended) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (known, has_ended) = (Arc::clone(&silences), Arc::clone(&ended));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(server) = TcpStream::connect(target) else { continue };
                let opened = known.load(Ordering::SeqCst);
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let (known, has_ended) = (Arc::clone(&known), Arc::clone(&has_ended));
                    let is_silent = move || known.load(Ordering::SeqCst) > opened;
                    let has_ended = move || has_ended.load(Ordering::SeqCst);
                    thread::spawn(move || copy(from, to, &is_silent, &has_ended));
                }
            }
        });
        Self { listen, silences, ended }
    }

    /// Makes the open connections go silent for good: what they carry is acknowledged and dropped, and neither end learns
    /// that the other one has closed its own.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.listen);
    }
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    is_silent: &dyn Fn() -> bool,
    has_ended: &dyn Fn() -> bool,
) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 * 1024];
    while !has_ended() {
        match from.read(&mut buffer) {
            Ok(0) if is_silent() => thread::sleep(POLL_INTERVAL),
            Ok(0) => break,
            Ok(_) if is_silent() => {}
            Ok(len) if to.write_all(&buffer[..len]).is_ok() => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => break,
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
