//! Tests the real binary with odd configurations, settings files and bytes on its ports.

mod lines;
mod odd;

use std::io::Write;
use std::net::{TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use lines::{Fleet, INTERNAL_PORT, PROXIES};
use odd::{PORTS, VOTERS, assert_all_run, nested_lists, read_on_each_proxy, restart};

/// The greatest numbers of a valid configuration must neither end a process, at once or when it reads the log again, nor
/// keep control from its other work.
#[test]
fn a_configuration_with_the_greatest_numbers_takes_effect() {
    let mut fleet = Fleet::up(194);
    let plain = lines::configuration(2, u64::MAX, u32::MAX as usize);
    let nested = format!("\"more\":{},", nested_lists(30_000));
    let edits = [
        ("\"TargetLatencyMs\":200", "\"TargetLatencyMs\":18446744073709551615"),
        ("\"MaxStaleMs\":2000", "\"MaxStaleMs\":18446744073709551615"),
        ("\"TxIdleMs\":3000", "\"TxIdleMs\":18446744073709551615"),
        ("\"SyncCount\":1", "\"SyncCount\":4294967295"),
        ("\"Priority\":1", "\"Priority\":255"),
        ("\"Routes\"", &format!("{nested}\"Routes\"")),
    ];
    let greatest = edits.iter().fold(plain, |body, (from, to)| {
        assert!(body.contains(from), "{from} is not there");
        body.replace(from, to)
    });
    assert_eq!(fleet.put_configuration_text(&greatest), 200);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(2) {
        read_on_each_proxy(&fleet);
    }
    VOTERS.into_iter().for_each(|vm| restart(&mut fleet, vm));
    PROXIES.into_iter().for_each(|vm| restart(&mut fleet, vm));
    read_on_each_proxy(&fleet);
    assert_eq!(fleet.put_configuration(3, 800), 200);
    fleet.group.drain("i-22");
    fleet.wait_until("the drain is known", |fleet| {
        fleet.logs().contains("i-22 of books is Leaving")
    });
    read_on_each_proxy(&fleet);
    assert_all_run(&fleet);
}

/// A settings file is read again when it changes. One that can't be read must not end the process.
#[test]
fn an_odd_settings_file_changes_nothing_in_running_processes() {
    let fleet = Fleet::up(195);
    let odd: [Vec<u8>; 8] = [
        format!("domain = {}{}", "[".repeat(100_000), "]".repeat(100_000)).into_bytes(),
        format!("domain = {}1{}", "{a=".repeat(100_000), "}".repeat(100_000)).into_bytes(),
        format!("[a{}]", ".a".repeat(100_000)).into_bytes(),
        b"[seeds]\nport = 99999\nlosses = 18446744073709551616\n".to_vec(),
        b"[proxy]\ngrace = \"18446744073709551615d\"\n[log]\nrate = 1e999\n".to_vec(),
        b"domain = \"\xff\xfe\"\n".to_vec(),
        Vec::new(),
        vec![b'x'; 4 * 1024 * 1024],
    ];
    for vm in [VOTERS[0], PROXIES[0]] {
        let path = fleet.log_file(vm).with_extension("toml");
        let settings = std::fs::read_to_string(&path).expect("the settings of the process");
        for text in &odd {
            std::fs::write(&path, text).unwrap();
            fleet.signal(vm, "-HUP");
            std::thread::sleep(Duration::from_millis(200));
            read_on_each_proxy(&fleet);
        }
        for (from, to) in
            [("9", "99999999999999999999"), ("1", "-1"), ("true", "[[[[[[[[{}]]]]]]]]")]
        {
            std::fs::write(&path, settings.replace(from, to)).unwrap();
            fleet.signal(vm, "-HUP");
            std::thread::sleep(Duration::from_millis(200));
        }
        std::fs::write(&path, settings).unwrap();
        fleet.signal(vm, "-HUP");
    }
    read_on_each_proxy(&fleet);
    assert_all_run(&fleet);
}

/// Lengths and counts that a peer sends must not be trusted, on any port.
#[test]
fn odd_bytes_on_every_port_change_nothing() {
    let fleet = Fleet::up(196);
    let head = "PUT /instances/i-22 HTTP/1.1\r\nhost: x\r\n";
    let mut odd: Vec<Vec<u8>> = vec![
        vec![0xff; 64],
        vec![0; 64],
        // A frame on a stream begins with its length, then its version and encoding.
        [&[0, 0, 0, 64, 4, 0][..], &[0xff; 62]].concat(),
        [&[0, 0, 0, 64, 4, 1][..], &[0xff; 62]].concat(),
        vec![0, 64, 0, 9],
        format!("{head}content-length: 18446744073709551616\r\n\r\n").into_bytes(),
        format!("{head}content-length: 18446744073709551615\r\n\r\n{{").into_bytes(),
        format!("{head}content-length: -1\r\n\r\n").into_bytes(),
        format!("{head}transfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n{{").into_bytes(),
        format!("{head}transfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n").into_bytes(),
        format!("{head}{}", "a: b\r\n".repeat(5_000)).into_bytes(),
        format!("PUT /{} HTTP/1.1\r\n\r\n", "x".repeat(100_000)).into_bytes(),
        b"CONNECT desk me\r\nQUERY 1 AFTER 18446744073709551616.1 FETCH a\r\n".to_vec(),
    ];
    odd.push(vec![b'['; 300_000]);
    for vm in VOTERS.iter().chain(&PROXIES) {
        for port in PORTS {
            for bytes in &odd {
                let address = fleet.address(*vm, port);
                let Ok(mut socket) = TcpStream::connect(address) else { continue };
                socket.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
                let _ = socket.write_all(bytes);
                let _ = socket.shutdown(std::net::Shutdown::Write);
            }
        }
        let datagrams = UdpSocket::bind(fleet.address(*vm, 0)).unwrap();
        for bytes in &odd {
            let end = bytes.len().min(60_000);
            datagrams.send_to(&bytes[..end], fleet.address(*vm, INTERNAL_PORT)).unwrap();
            // A datagram has no length before the frame.
            let start = 4.min(end);
            datagrams.send_to(&bytes[start..end], fleet.address(*vm, INTERNAL_PORT)).unwrap();
        }
    }
    read_on_each_proxy(&fleet);
    fleet.group.drain("i-22");
    fleet.wait_until("the drain is known", |fleet| {
        fleet.logs().contains("i-22 of books is Leaving")
    });
    assert_all_run(&fleet);
}
