//! Security of real processes: what a peer without the right key, certificate, password or token gets.

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
const OTHER_KEYS: &str = "1 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";
const TIMEOUT: Duration = Duration::from_secs(10);

/// A control process and a proxy, with all their files in one directory. Dropping it kills both.
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

/// Returns addresses with free ports.
fn free_addresses() -> [SocketAddr; 5] {
    let listeners: [TcpListener; 5] =
        std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

/// Writes a file that only its owner may read, and opens it as a secret.
fn write_secret(path: &Path, content: &str) -> Secret {
    std::fs::write(path, content).unwrap();
    std::fs::set_permissions(path, Permissions::from_mode(0o600)).unwrap();
    Secret::open(path.to_path_buf()).unwrap()
}

/// Writes a new self-signed certificate for the loopback address and its key, and returns the certificate as a root.
fn write_certificate(dir: &Path) -> String {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.subject_alt_names.push(SanType::IpAddress("127.0.0.1".parse().unwrap()));
    let key = KeyPair::generate().unwrap();
    let pem = params.self_signed(&key).unwrap().pem();
    write_secret(&dir.join("key.pem"), &key.serialize_pem());
    std::fs::write(dir.join("certificate.pem"), &pem).unwrap();
    pem
}

/// Runs the binary with `input` on its standard input, and returns its exit code and its output.
fn run_cactushatch(arguments: &[&str], input: &str) -> (Option<i32>, String) {
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
    fn start(proxy_keys: &str) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let path = |name: &str| dir.path().join(name).display().to_string();
        write_certificate(dir.path());
        write_secret(&dir.path().join("keys"), KEYS);
        write_secret(&dir.path().join("proxy-keys"), proxy_keys);
        let (_, user) = run_cactushatch(&["secret", "user", "anna"], "pencil\n");
        write_secret(&dir.path().join("users"), &user);
        let token = path("token");
        let (_, operator) = run_cactushatch(&["secret", "operator", "olga", "--token", &token], "");
        write_secret(&dir.path().join("operators"), &operator);
        let [listen, address, proxy_admin, control, control_admin] = free_addresses();
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
        let spawn = |role: &str| {
            let settings = path(&format!("{role}.toml"));
            Command::new(env!("CARGO_BIN_EXE_cactushatch"))
                .args([role, "--settings", &settings])
                .stderr(Stdio::null())
                .spawn()
                .unwrap()
        };
        let children = vec![spawn("control"), spawn("proxy")];
        let system = Self { dir, children, listen, proxy_admin, control, control_admin };
        for address in [listen, proxy_admin, control_admin] {
            wait_for("a listener", || TcpStream::connect(address).is_ok());
        }
        system
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn connect(&self, upstream: &UpstreamAuth) -> Result<Client, Error> {
        let parameters = [("user", "anna"), ("database", "ops-1")];
        let clock = Clock::system();
        let connect = Client::connect(&clock, self.listen, &parameters, Some(upstream), TIMEOUT);
        smol::block_on(connect)
    }

    /// Returns the settings of a caller that trusts `root` and sends `password`.
    fn caller(&self, root: &str, password: &str) -> UpstreamAuth {
        std::fs::write(self.path("root.pem"), root).unwrap();
        let password = write_secret(&self.path("password"), password);
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

/// Polls until `condition` holds, and fails after the timeout.
fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends an HTTP request and returns the status and the body of the response.
fn http(address: SocketAddr, method: &str, path: &str, token: Option<&str>) -> (u16, String) {
    let mut socket = TcpStream::connect(address).unwrap();
    let bearer = token.map(|t| format!("authorization: Bearer {t}\r\n")).unwrap_or_default();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n{bearer}content-length: 0\r\n\r\n"
    );
    socket.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    socket.read_to_string(&mut response).unwrap();
    let status = response.split(' ').nth(1).unwrap().parse().unwrap();
    (status, response.split_once("\r\n\r\n").unwrap().1.to_owned())
}

/// Returns the value of the first metric whose line starts with `name`, or 0 if there is none.
fn metric(address: SocketAddr, name: &str) -> u64 {
    let (_, body) = http(address, "GET", "/metrics", None);
    let line = body.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()).map_or(0, |value| value.parse().unwrap())
}

#[test]
fn a_caller_needs_tls_the_right_root_and_the_right_password() {
    let system = System::start(KEYS);
    let root = system.root();
    system.connect(&system.caller(&root, "pencil")).expect("the right credentials are accepted");
    let assert_denied = |upstream: &UpstreamAuth| match system.connect(upstream) {
        Err(Error::Server { code, .. }) => assert_eq!(code, "28P01"),
        other => panic!("a wrong password was not denied: {other:?}"),
    };
    assert_denied(&system.caller(&root, "Pencil"));
    let plain = UpstreamAuth { connector: None, ..system.caller(&root, "pencil") };
    match system.connect(&plain) {
        Err(Error::Server { code, .. }) => assert_eq!(code, "28000"),
        other => panic!("a caller without TLS was not denied: {other:?}"),
    }
    let other = tempfile::tempdir().unwrap();
    let other_root = write_certificate(other.path());
    assert!(
        system.connect(&system.caller(&other_root, "pencil")).is_err(),
        "a certificate that the root did not sign was trusted"
    );
}

#[test]
fn a_new_certificate_is_used_without_a_restart() {
    let system = System::start(KEYS);
    let old = system.root();
    system.connect(&system.caller(&old, "pencil")).expect("the old certificate is trusted");
    let new = write_certificate(system.dir.path());
    wait_for("the new certificate", || system.connect(&system.caller(&new, "pencil")).is_ok());
    assert!(
        system.connect(&system.caller(&old, "pencil")).is_err(),
        "the old certificate is still in use"
    );
}

#[test]
fn frames_of_processes_without_the_key_are_dropped() {
    let system = System::start(OTHER_KEYS);
    let seal_errors = "cactushatch_protocol_errors_total{peer=\"process\",reason=\"seal\"}";
    wait_for("a dropped frame", || metric(system.control_admin, seal_errors) > 3);
    assert_eq!(metric(system.control_admin, "cactushatch_leases_total"), 0);
    assert_eq!(metric(system.proxy_admin, "cactushatch_control_term"), 0);
    let sender: id::Node = "control-1".parse().unwrap();
    let frame = Frame {
        sender,
        incarnation: id::Incarnation(1),
        body: Body::Fetch { revision: id::Revision(0) },
    };
    let frame = frame.encode().unwrap();
    let before = metric(system.control_admin, seal_errors);
    UdpSocket::bind("127.0.0.1:0").unwrap().send_to(&frame, system.control).unwrap();
    wait_for("the count of the unsealed frame", || {
        metric(system.control_admin, seal_errors) > before
    });
    let mut socket = TcpStream::connect(system.control).unwrap();
    socket.write_all(&(frame.len() as u32).to_be_bytes()).unwrap();
    socket.write_all(&frame).unwrap();
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    assert!(read.is_err() || answer.is_empty(), "an unsealed frame was answered");
    write_secret(&system.path("proxy-keys"), KEYS);
    wait_for("a lease after the key is corrected", || {
        metric(system.control_admin, "cactushatch_leases_total{answer=\"granted\"}") > 0
    });
}

#[test]
fn an_operator_needs_a_token_and_is_recorded_under_the_name_of_the_token() {
    let system = System::start(KEYS);
    let token = std::fs::read_to_string(system.path("token")).unwrap();
    for (method, path) in [("GET", "/status"), ("POST", "/plan"), ("POST", "/confirm")] {
        assert_eq!(http(system.control_admin, method, path, None).0, 401, "{method} {path}");
        assert_eq!(http(system.control_admin, method, path, Some("x")).0, 401, "{method} {path}");
    }
    assert_eq!(http(system.control_admin, "GET", "/status", Some(token.trim())).0, 200);
    let admin = system.control_admin.to_string();
    assert_eq!(run_cactushatch(&["status", "--admin", &admin], "").0, Some(3));
    let file = system.path("token").display().to_string();
    let common = ["--admin", &admin, "--token", &file, "--operator", "mallory", "--json"];
    let groups = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/imena/groups.toml");
    let (code, planned) = run_cactushatch(&[&["plan", groups][..], &common].concat(), "");
    assert_eq!(code, Some(0), "{planned}");
    let planned: serde_json::Value = serde_json::from_str(&planned).unwrap();
    let plan = planned["planned"]["plan"].as_str().unwrap();
    assert_eq!(run_cactushatch(&[&["confirm", plan][..], &common].concat(), "").0, Some(0));
    let log = std::fs::read_dir(system.path("data-control-1")).unwrap();
    let bytes: Vec<u8> =
        log.flat_map(|file| std::fs::read(file.unwrap().path()).unwrap_or_default()).collect();
    let contains = |name: &str| bytes.windows(name.len()).any(|part| part == name.as_bytes());
    assert!(contains("olga") && !contains("mallory"), "the log names the wrong operator");
}
