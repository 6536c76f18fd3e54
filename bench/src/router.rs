//! A baseline for measurements: a router that sends every query to the primary over a fixed pool, round robin,
//! without fencing, floors, classes or queues.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::BytesMut;
use cactushatch::clock::Clock;
use cactushatch::pgsql::{Client, Error, Startup, read_message, read_startup};
use smol::io::{AsyncWriteExt, BufReader};
use smol::lock::Mutex;
use smol::net::{TcpListener, TcpStream};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The connections to the primary, and the counter that selects the next one.
type Pool = Arc<(Vec<Mutex<Client>>, AtomicUsize)>;

/// Starts the router on a free port with `connections` to the primary. It accepts callers until the returned
/// task is dropped.
pub async fn spawn(
    primary: SocketAddr,
    connections: usize,
) -> anyhow::Result<(SocketAddr, smol::Task<()>)> {
    let clock = Clock::system();
    let mut clients = Vec::new();
    for _ in 0..connections {
        let parameters = [("user", "bench"), ("database", "bench")];
        let client = Client::connect(&clock, primary, &parameters, None, CONNECT_TIMEOUT).await?;
        clients.push(Mutex::new(client));
    }
    let pool: Pool = Arc::new((clients, AtomicUsize::new(0)));
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let task = smol::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            smol::spawn(serve(Arc::clone(&pool), socket)).detach();
        }
    });
    Ok((address, task))
}

async fn serve(pool: Pool, mut socket: TcpStream) -> Result<(), Error> {
    socket.set_nodelay(true)?;
    let mut reader = BufReader::new(socket.clone());
    while !matches!(read_startup(&mut reader).await?, Startup::Session(_)) {
        socket.write_all(b"N").await?;
    }
    socket.write_all(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I").await?;
    while let Some(message) = read_message(&mut reader).await? {
        if message.tag != b'Q' {
            return Ok(());
        }
        let next = pool.1.fetch_add(1, Ordering::Relaxed) % pool.0.len();
        let mut client = pool.0[next].lock().await;
        let mut out = BytesMut::new();
        message.write(&mut out);
        client.send(&out).await?;
        out.clear();
        loop {
            let answer = client.receive().await?;
            answer.write(&mut out);
            if answer.tag == b'Z' {
                break;
            }
        }
        drop(client);
        socket.write_all(&out).await?;
    }
    Ok(())
}
