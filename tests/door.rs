//! Real processes with everything on: what a peer without the right key, certificate, password or token gets.

use std::fs::Permissions;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use cactushatch::clock::Clock;
use cactushatch::config::{Secret, Security};
use cactushatch::id;
use cactushatch::pgsql::{Client, Error};
use cactushatch::security::{Credentials, UpstreamAuth};
use cactushatch::wire::{Body, Frame};
use rcgen::{CertificateParams, KeyPair, SanType};

const KEYS: &str = "1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
const OTHER: &str = "1 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";
const SOON: Duration = Duration::from_secs(10);

/// A control process and a proxy, with all files in one folder; they end when it is dropped.
struct System {
    dir: tempfile::TempDir,
    children: Vec<Child>,
    listen: SocketAddr,
    proxy_admin: SocketAddr,
    control: SocketAddr,
    control_admin: SocketAddr,
}

impl Drop for System {
    fn drop(&mut self) {
        for child in &mut self.children {
            child.kill().unwrap();
            child.wait().unwrap();
        }
    }
}

fn ports() -> [SocketAddr; 5] {
    let held: [TcpListener; 5] = std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    held.map(|listener| listener.local_addr().unwrap())
}

fn secret(path: &Path, content: &str) -> Secret {
    std::fs::write(path, content).unwrap();
    std::fs::set_permissions(path, Permissions::from_mode(0o600)).unwrap();
    Secret::open(path.to_path_buf()).unwrap()
}

/// Writes a new certificate for the loopback address, with its key, and returns it as a root.
fn certify(dir: &Path) -> String {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.subject_alt_names.push(SanType::IpAddress("127.0.0.1".parse().unwrap()));
    let key = KeyPair::generate().unwrap();
    let pem = params.self_signed(&key).unwrap().pem();
    secret(&dir.join("key.pem"), &key.serialize_pem());
    std::fs::write(dir.join("certificate.pem"), &pem).unwrap();
    pem
}

fn cactushatch(arguments: &[&str], input: &str) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    let output = child.wait_with_output().unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

impl System {
    fn up(proxy_keys: &str) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let path = |name: &str| dir.path().join(name).display().to_string();
        certify(dir.path());
        secret(&dir.path().join("keys"), KEYS);
        secret(&dir.path().join("proxy-keys"), proxy_keys);
        let (_, user) = cactushatch(&["secret", "user", "anna"], "pencil\n");
        secret(&dir.path().join("users"), &user);
        let token = path("token");
        let (_, operator) = cactushatch(&["secret", "operator", "olga", "--token", &token], "");
        secret(&dir.path().join("operators"), &operator);
        let [listen, address, proxy_admin, control, control_admin] = ports();
        let common = |node: &str| {
            format!(
                "node = \"{node}\"\ndomain = \"a\"\ndata = \"{}\"\n\
                 voters = [{{ node = \"control-1\", address = \"{control}\", domain = \"a\", \
                 admin = \"{control_admin}\" }}]\n",
                path(&format!("data-{node}"))
            )
        };
        let proxy = format!(
            "{}[proxy]\nlisten = \"{listen}\"\naddress = \"{address}\"\nadmin = \"{proxy_admin}\"\n\
             [security]\ncertificate = \"{}\"\nkey = \"{}\"\nusers = \"{}\"\nkeys = \"{}\"\n\
             operators = \"{}\"\n",
            common("proxy-1"),
            path("certificate.pem"),
            path("key.pem"),
            path("users"),
            path("proxy-keys"),
            path("operators"),
        );
        let control_settings = format!(
            "{}[control]\naddress = \"{control}\"\nadmin = \"{control_admin}\"\n\
             [security]\nkeys = \"{}\"\noperators = \"{}\"\n",
            common("control-1"),
            path("keys"),
            path("operators"),
        );
        std::fs::write(path("proxy.toml"), proxy).unwrap();
        std::fs::write(path("control.toml"), control_settings).unwrap();
        let run = |role: &str| {
            let settings = path(&format!("{role}.toml"));
            Command::new(env!("CARGO_BIN_EXE_cactushatch"))
                .args([role, "--settings", &settings])
                .stderr(Stdio::null())
                .spawn()
                .unwrap()
        };
        let children = vec![run("control"), run("proxy")];
        let system = Self { dir, children, listen, proxy_admin, control, control_admin };
        for address in [listen, proxy_admin, control_admin] {
            eventually("a listener", || TcpStream::connect(address).is_ok());
        }
        system
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn open(&self, upstream: &UpstreamAuth) -> Result<Client, Error> {
        let parameters = [("user", "anna"), ("database", "ops-1")];
        let clock = Clock::system();
        let open = Client::connect(&clock, self.listen, &parameters, Some(upstream), SOON);
        smol::block_on(open)
    }

    /// Returns the credentials of a caller that trusts `root` and gives `password`.
    fn caller(&self, root: &str, password: &str) -> UpstreamAuth {
        std::fs::write(self.path("root.pem"), root).unwrap();
        let password = secret(&self.path("password"), password);
        let security = Security {
            upstream_roots: Some(self.path("root.pem")),
            upstream_password: Some(password),
            ..Security::default()
        };
        Credentials::open(&security).unwrap().upstream
    }

    fn root(&self) -> String {
        std::fs::read_to_string(self.path("certificate.pem")).unwrap()
    }
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < SOON, "{what} did not come");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Asks over HTTP and returns the status and the body.
fn http(address: SocketAddr, method: &str, path: &str, token: Option<&str>) -> (u16, String) {
    let mut socket = TcpStream::connect(address).unwrap();
    let bearer = token.map(|t| format!("authorization: Bearer {t}\r\n")).unwrap_or_default();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{bearer}content-length: 0\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    let status = answer.split(' ').nth(1).unwrap().parse().unwrap();
    (status, answer.split_once("\r\n\r\n").unwrap().1.to_owned())
}

fn metric(address: SocketAddr, name: &str) -> u64 {
    let (_, body) = http(address, "GET", "/metrics", None);
    let line = body.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0, |value| value.parse().unwrap())
}

#[test]
fn a_caller_needs_tls_a_known_name_and_the_password() {
    let system = System::up(KEYS);
    let root = system.root();
    system.open(&system.caller(&root, "pencil")).expect("the right caller gets in");
    let denied = |upstream: &UpstreamAuth| match system.open(upstream) {
        Err(Error::Server { code, .. }) => assert_eq!(code, "28P01"),
        other => panic!("not denied: {other:?}"),
    };
    denied(&system.caller(&root, "Pencil"));
    let plain = UpstreamAuth { connector: None, ..system.caller(&root, "pencil") };
    match system.open(&plain) {
        Err(Error::Server { code, .. }) => assert_eq!(code, "28000"),
        other => panic!("a caller without TLS got in: {other:?}"),
    }
    let other = tempfile::tempdir().unwrap();
    let stranger = certify(other.path());
    assert!(system.open(&system.caller(&stranger, "pencil")).is_err(), "a wrong root is trusted");
}

#[test]
fn a_new_certificate_counts_without_a_restart() {
    let system = System::up(KEYS);
    let old = system.root();
    system.open(&system.caller(&old, "pencil")).expect("the old certificate");
    let new = certify(system.dir.path());
    eventually("the new certificate", || system.open(&system.caller(&new, "pencil")).is_ok());
    assert!(system.open(&system.caller(&old, "pencil")).is_err(), "the old one is still shown");
}

#[test]
fn processes_without_the_key_are_not_heard() {
    let system = System::up(OTHER);
    let sealed = "cactushatch_protocol_errors_total{peer=\"process\",reason=\"seal\"}";
    eventually("a dropped frame", || metric(system.control_admin, sealed) > 3);
    assert_eq!(metric(system.control_admin, "cactushatch_leases_total"), 0);
    assert_eq!(metric(system.proxy_admin, "cactushatch_control_term"), 0);
    let sender: id::Node = "control-1".parse().unwrap();
    let frame = Frame { sender, incarnation: id::Incarnation(1), body: Body::Fetch };
    let frame = frame.encode().unwrap();
    let before = metric(system.control_admin, sealed);
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&frame, system.control).unwrap();
    eventually("its count", || metric(system.control_admin, sealed) > before);
    let mut socket = TcpStream::connect(system.control).unwrap();
    socket.write_all(&(frame.len() as u32).to_be_bytes()).unwrap();
    socket.write_all(&frame).unwrap();
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    assert!(read.is_err() || answer.is_empty(), "a frame without a seal got an answer");
    secret(&system.path("proxy-keys"), KEYS);
    eventually("a lease, once the key is right", || {
        metric(system.control_admin, "cactushatch_leases_total{answer=\"granted\"}") > 0
    });
}

#[test]
fn an_operator_needs_a_token_and_goes_by_its_name() {
    let system = System::up(KEYS);
    let token = std::fs::read_to_string(system.path("token")).unwrap();
    for (method, path) in [("GET", "/status"), ("POST", "/plan"), ("POST", "/confirm")] {
        assert_eq!(http(system.control_admin, method, path, None).0, 401, "{method} {path}");
        assert_eq!(http(system.control_admin, method, path, Some("x")).0, 401, "{method} {path}");
    }
    assert_eq!(http(system.control_admin, "GET", "/status", Some(token.trim())).0, 200);
    let admin = system.control_admin.to_string();
    assert_eq!(cactushatch(&["status", "--admin", &admin], "").0, Some(3));
    let file = system.path("token").display().to_string();
    let common = ["--admin", &admin, "--token", &file, "--operator", "mallory", "--json"];
    let groups = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/imena/groups.toml");
    let (code, planned) = cactushatch(&[&["plan", groups][..], &common].concat(), "");
    assert_eq!(code, Some(0), "{planned}");
    let planned: serde_json::Value = serde_json::from_str(&planned).unwrap();
    let plan = planned["planned"]["plan"].as_str().unwrap();
    assert_eq!(cactushatch(&[&["confirm", plan][..], &common].concat(), "").0, Some(0));
    let log = std::fs::read_dir(system.path("data-control-1")).unwrap();
    let bytes: Vec<u8> =
        log.flat_map(|file| std::fs::read(file.unwrap().path()).unwrap_or_default()).collect();
    let holds = |name: &str| bytes.windows(name.len()).any(|part| part == name.as_bytes());
    assert!(holds("olga") && !holds("mallory"), "the log has the wrong operator");
}
