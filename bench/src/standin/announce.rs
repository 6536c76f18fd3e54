//! Periodic announcements of the instance over HTTP, to the proxies in its settings.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use cactushatch::id;
use cactushatch::upstream::announcement::Announcement;
use cactushatch::wire::Replica;

use super::instance::Instance;

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the thread that announces the instance to each proxy. A failed announcement is not retried before the
/// next interval.
pub fn spawn(instance: &Arc<Instance>) {
    let instance = Arc::clone(instance);
    std::thread::spawn(move || {
        loop {
            let body = serde_json::to_string(&announcement(&instance)).unwrap_or_default();
            for proxy in &instance.settings.announce {
                let _ = post_announcement(*proxy, &body);
            }
            std::thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
}

fn announcement(instance: &Instance) -> Announcement {
    let log = instance.journal.log.lock().unwrap();
    Announcement {
        replica: Replica {
            group: instance.settings.group.clone(),
            instance: instance.settings.instance.clone(),
            address: instance.settings.listen,
            domain: instance.settings.domain.clone(),
        },
        role: log.role,
        term: id::Term(log.term),
        position: id::Position(log.position()),
    }
}

fn post_announcement(address: SocketAddr, body: &str) -> std::io::Result<()> {
    let mut socket = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    socket.set_read_timeout(Some(Duration::from_millis(500)))?;
    let head = format!(
        "POST /announce HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes())?;
    socket.write_all(body.as_bytes())?;
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer)?;
    Ok(())
}
