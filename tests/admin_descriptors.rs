//! Tests that an HTTP server goes on after it had no file descriptor left for a connection.

use std::net::TcpStream;
use std::time::Duration;

use cactushatch::admin::{self, Reply};
use hyper::StatusCode;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Connections that stay open take the last descriptors, and accepting fails.
#[test]
fn a_server_without_descriptors_accepts_again_once_it_has_some() {
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("an address");
        let handle = |_| async { Reply::refuse(StatusCode::NOT_FOUND, "nothing here") };
        let server = smol::spawn(admin::serve(listener, handle));
        let limit = getrlimit(Resource::Nofile);
        let low = Rlimit { current: Some(40), maximum: limit.maximum };
        setrlimit(Resource::Nofile, low).expect("a lower limit");
        let mut connections = Vec::new();
        while let Ok(connection) = TcpStream::connect(address) {
            connections.push(connection);
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert!(!connections.is_empty());
        smol::Timer::after(Duration::from_millis(300)).await;
        drop(connections);
        setrlimit(Resource::Nofile, limit).expect("the former limit");
        assert!(!server.is_finished(), "the server stopped");
        let answer = smol::unblock(move || {
            let mut socket = TcpStream::connect(address)?;
            socket.set_read_timeout(Some(Duration::from_secs(5)))?;
            std::io::Write::write_all(&mut socket, b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")?;
            let mut answer = [0; 12];
            std::io::Read::read_exact(&mut socket, &mut answer)?;
            Ok::<_, std::io::Error>(answer)
        });
        assert_eq!(&answer.await.expect("an answer"), b"HTTP/1.1 404");
    });
}
