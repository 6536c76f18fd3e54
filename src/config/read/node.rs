//! Reads the settings of a process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use super::table::Table;
use crate::config::node::{DEFAULT_HISTORY, DEFAULT_USER};
use crate::config::{Control, Format, Log, Node, Proxy, Secret, Security, Seeds, Size, Tls, Voter};

/// What an address may be.
const ADDRESS: &str = "an IP number and a port of 1 to 65535, such as 10.0.0.1:5432";
/// What a name may be.
const NAME: &str = "letters, digits and -_.:";
/// What a path may be.
const PATH: &str = "a path";
/// How long after SIGTERM a process may be killed.
const GRACE: Range<Duration> = Duration::from_secs(1)..Duration::from_secs(3_600);
/// The most losses that a majority is planned for; each costs two more voters, and more than nine slow the log.
const MAX_LOSSES: u32 = 4;
/// What the size of a history may be.
const HISTORY: std::ops::RangeInclusive<u64> = 64 * 1024..=1024 * 1024 * 1024;

pub(super) fn read(root: &Table<'_>) -> Option<Node> {
    let node = root.required("node", NAME);
    let domain = root.required("domain", NAME);
    let data = root.text::<PathBuf>("data", PATH);
    let voters = root.list("voters", read_voter);
    let seeds = root.table("seeds", read_seeds);
    let proxy = root.table("proxy", read_proxy);
    let control = root.table("control", read_control);
    let security = root.table("security", |table| Some(read_security(table)));
    let log = root.table("log", |table| Some(read_log(table)));
    let history = read_history(root);
    let node = Node {
        node: node?,
        domain: domain?,
        data,
        voters,
        seeds,
        proxy,
        control,
        security: security.unwrap_or_default(),
        log: log.unwrap_or_default(),
        history,
    };
    check_roles(root, &node);
    check_voters(root, &node);
    check_listeners(root, &node);
    Some(node)
}

fn read_voter(table: &Table<'_>) -> Option<Voter> {
    let node = table.required("node", NAME);
    let frames = address(table, "address");
    let domain = table.required("domain", NAME);
    let admin = address(table, "admin");
    Some(Voter { node: node?, address: frames?, domain: domain?, admin: admin? })
}

fn read_seeds(table: &Table<'_>) -> Option<Seeds> {
    let hosts: Vec<SocketAddr> = table.texts("hosts", ADDRESS);
    if hosts.is_empty() {
        table.fault("hosts", format!("names nobody; valid: a list of at least one of {ADDRESS}"));
    }
    let port = table.number("port", 1..=u32::from(u16::MAX));
    let first_start = table.flag("first_start");
    let losses = table.number("losses", 0..=MAX_LOSSES);
    let port = u16::try_from(port?).ok()?;
    let addresses = hosts.iter().map(|host| SocketAddr::new(host.ip(), port)).collect();
    Some(Seeds { addresses, first_start, losses: losses? })
}

fn read_proxy(table: &Table<'_>) -> Option<Proxy> {
    let listen = address(table, "listen");
    let frames = address(table, "address");
    let admin = address(table, "admin");
    let user = table.text("user", NAME).unwrap_or_else(|| DEFAULT_USER.to_owned());
    let ready = optional_address(table, "ready");
    let grace = table.span("grace", GRACE);
    Some(Proxy { listen: listen?, address: frames?, admin: admin?, user, ready, grace })
}

fn read_control(table: &Table<'_>) -> Option<Control> {
    let frames = address(table, "address");
    let admin = address(table, "admin");
    let user = table.text("user", NAME).unwrap_or_else(|| DEFAULT_USER.to_owned());
    let gateway = optional_address(table, "gateway");
    let promoter = optional_address(table, "promoter");
    Some(Control { address: frames?, admin: admin?, user, gateway, promoter })
}

fn optional_address(table: &Table<'_>, key: &'static str) -> Option<SocketAddr> {
    table.text(key, ADDRESS)
}

fn address(table: &Table<'_>, key: &'static str) -> Option<SocketAddr> {
    let address: SocketAddr = table.required(key, ADDRESS)?;
    if address.port() == 0 {
        table.fault(key, format!("has port 0, which nobody could find; valid: {ADDRESS}"));
        return None;
    }
    Some(address)
}

fn read_security(table: &Table<'_>) -> Security {
    let certificate = file(table, "certificate");
    let key = secret(table, "key");
    if certificate.is_some() && key.is_none() && table.text::<PathBuf>("key", PATH).is_none() {
        table.fault("key", "is missing; a certificate needs the file of its key");
    }
    if key.is_some() && certificate.is_none() {
        table.fault("certificate", "is missing; a key needs the file of its certificate");
    }
    Security {
        tls: certificate.zip(key).map(|(certificate, key)| Tls { certificate, key }),
        users: secret(table, "users"),
        upstream_password: secret(table, "upstream_password"),
        upstream_roots: file(table, "upstream_roots"),
        keys: secret(table, "keys"),
        operators: secret(table, "operators"),
    }
}

fn file(table: &Table<'_>, key: &'static str) -> Option<PathBuf> {
    let path: PathBuf = table.text(key, PATH)?;
    match std::fs::File::open(&path) {
        Ok(_) => Some(path),
        Err(error) => {
            table.fault(key, format!("can't be read: {error}"));
            None
        }
    }
}

fn secret(table: &Table<'_>, key: &'static str) -> Option<Secret> {
    let path: PathBuf = table.text(key, PATH)?;
    match Secret::open(path) {
        Ok(secret) => Some(secret),
        Err(error) => {
            table.fault(key, error.to_string());
            None
        }
    }
}

fn read_log(table: &Table<'_>) -> Log {
    let standard = Log::default();
    let formats = [("text", Format::Text), ("json", Format::Json)];
    let levels = [
        ("error", log::LevelFilter::Error),
        ("warn", log::LevelFilter::Warn),
        ("info", log::LevelFilter::Info),
        ("debug", log::LevelFilter::Debug),
    ];
    Log {
        format: table.word("format", &formats).unwrap_or(standard.format),
        level: table.word("level", &levels).unwrap_or(standard.level),
        rate: table.text("rate", "1/s to 100000/s").unwrap_or(standard.rate),
    }
}

fn read_history(root: &Table<'_>) -> Size {
    let valid = format!("{} to {}", Size(*HISTORY.start()), Size(*HISTORY.end()));
    let size: Size = root.text("history", &valid).unwrap_or(DEFAULT_HISTORY);
    if !HISTORY.contains(&size.0) {
        root.fault("history", format!("is out of range; valid: {valid}"));
    }
    size
}

fn check_roles(root: &Table<'_>, node: &Node) {
    if node.proxy.is_none() && node.control.is_none() {
        root.fault("proxy", "is missing; a process needs a [proxy] or a [control] table");
    }
    if node.control.is_some() && node.data.is_none() {
        root.fault("data", "is missing; a control process needs a data folder on a disk");
    }
    if node.data.as_ref().is_some_and(|data| data.is_file()) {
        root.fault("data", "is a file; valid: a folder, or where one can be made");
    }
}

fn check_voters(root: &Table<'_>, node: &Node) {
    if node.voters.is_empty() && node.seeds.is_none() {
        root.fault("voters", "is missing; valid: a list with every control process");
    }
    let mut seen = BTreeSet::new();
    for voter in &node.voters {
        if !seen.insert(&voter.node) {
            root.fault("voters", format!("names {} twice", voter.node));
        }
    }
    let addresses: BTreeSet<SocketAddr> = node.voters.iter().map(|voter| voter.address).collect();
    if addresses.len() < node.voters.len() {
        root.fault("voters", "gives one address to two processes");
    }
    let own = node.voters.iter().find(|voter| voter.node == node.node);
    if let (Some(own), Some(control)) = (own, &node.control)
        && own.address.port() != control.address.port()
    {
        let problem = format!(
            "says {} for this process, and control.address says {}",
            own.address, control.address
        );
        root.fault("voters", problem);
    }
}

/// Refuses two listeners on one port of one transport.
fn check_listeners(root: &Table<'_>, node: &Node) {
    let mut tcp = Vec::new();
    let mut udp = Vec::new();
    if let Some(proxy) = &node.proxy {
        tcp.extend([("proxy.listen", proxy.listen), ("proxy.admin", proxy.admin)]);
        tcp.extend(proxy.ready.map(|ready| ("proxy.ready", ready)));
        udp.push(("proxy.address", proxy.address));
    }
    if let Some(control) = &node.control {
        tcp.extend([("control.address", control.address), ("control.admin", control.admin)]);
        tcp.extend(control.gateway.map(|gateway| ("control.gateway", gateway)));
        udp.push(("control.address", control.address));
    }
    for listeners in [tcp, udp] {
        for (at, (key, address)) in listeners.iter().enumerate() {
            for (other, taken) in &listeners[..at] {
                if clash(*address, *taken) {
                    let table = key.split_once('.').map_or(*key, |(table, _)| table);
                    let problem = format!("{key} = {address} clashes with {other} = {taken}");
                    root.fault(table, problem);
                }
            }
        }
    }
}

fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (any || a.ip() == b.ip())
}
