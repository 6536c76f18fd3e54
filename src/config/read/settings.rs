//! Reads the settings of a process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::time::Duration;

use super::table::Table;
use crate::config::settings::{DEFAULT_HISTORY_SIZE, DEFAULT_UPSTREAM_USER};
use crate::config::{
    Control, Format, Log, Placement, Proxy, QuotaBound, Scheduling, Secret, Security, Seeds,
    Settings, Size, Span, Tls, Voter,
};

/// Valid addresses, as shown in faults.
const VALID_ADDRESS: &str = "an IP number and a port of 1 to 65535, such as 10.0.0.1:5432";
/// Valid names, as shown in faults.
const VALID_NAME: &str = "letters, digits and -_.:";
/// Valid paths, as shown in faults.
const VALID_PATH: &str = "a path";
/// Valid times from SIGTERM until the process is killed.
const GRACE: Range<Duration> = Duration::from_secs(1)..Duration::from_secs(3_600);
/// Valid windows of the bound on quotas.
const QUOTA_WINDOW: Range<Duration> = Duration::from_millis(100)..Duration::from_secs(3_600);
/// Valid windows, as shown in faults.
const VALID_QUOTA_WINDOW: &str = "a text, 100ms to 1h, or empty for none";
/// Valid excesses, as shown in faults.
const VALID_QUOTA_EXCESS: &str = "a text, 0 to 1, or empty for none";
/// The greatest slack. A greater one is more likely an error than a wish.
const MAX_QUOTA_SLACK: u32 = 1_000_000;
/// Valid slacks, as shown in faults.
const VALID_QUOTA_SLACK: &str = "a text, 0 to 1000000, or empty for none";
/// The highest number of simultaneous losses to plan for. Each needs two more voters, and more than nine voters slow
/// the log down.
const MAX_LOSSES: u32 = 4;
/// Valid sizes of the burn report's history, in bytes.
const HISTORY_BYTES: std::ops::RangeInclusive<u64> = 64 * 1024..=1024 * 1024 * 1024;

pub(super) fn read(root: &Table<'_>) -> Option<Settings> {
    let node = root.required("node", VALID_NAME);
    let domain = root.required("domain", VALID_NAME);
    let data = root.optional::<PathBuf>("data", VALID_PATH);
    let voters = root.tables("voters", read_voter);
    let seeds = root.table("seeds", read_seeds);
    let proxy = root.table("proxy", read_proxy);
    let control = root.table("control", read_control);
    let security = root.table("security", |table| Some(read_security(table)));
    let log = root.table("log", |table| Some(read_log(table)));
    let history = read_history(root);
    let settings = Settings {
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
    check_roles(root, &settings);
    check_voters(root, &settings);
    check_listeners(root, &settings);
    Some(settings)
}

fn read_voter(table: &Table<'_>) -> Option<Voter> {
    let node = table.required("node", VALID_NAME);
    let frame_address = address(table, "address");
    let domain = table.required("domain", VALID_NAME);
    let admin = address(table, "admin");
    Some(Voter { node: node?, address: frame_address?, domain: domain?, admin: admin? })
}

fn read_seeds(table: &Table<'_>) -> Option<Seeds> {
    let hosts: Vec<SocketAddr> = table.list("hosts", VALID_ADDRESS);
    if hosts.is_empty() {
        table.fault("hosts", format!("is empty; valid: a list of at least one of {VALID_ADDRESS}"));
    }
    let port = table.required_number("port", 1..=u32::from(u16::MAX));
    let first_start = table.flag("first_start");
    let losses = table.required_number("losses", 0..=MAX_LOSSES);
    let port = u16::try_from(port?).ok()?;
    let addresses = hosts.iter().map(|host| SocketAddr::new(host.ip(), port)).collect();
    Some(Seeds { addresses, first_start, losses: losses? })
}

fn read_proxy(table: &Table<'_>) -> Option<Proxy> {
    let listen = address(table, "listen");
    let frame_address = address(table, "address");
    let admin = address(table, "admin");
    let user =
        table.optional("user", VALID_NAME).unwrap_or_else(|| DEFAULT_UPSTREAM_USER.to_owned());
    let ready = optional_address(table, "ready");
    let grace = table.span("grace", GRACE);
    let placements = [("local", Placement::Local), ("estimated", Placement::Estimated)];
    let placement = table.keyword("placement", &placements).unwrap_or_default();
    let orders = [("priority", Scheduling::Priority), ("objective", Scheduling::Objective)];
    let scheduling = table.keyword("scheduling", &orders).unwrap_or_default();
    Some(Proxy {
        listen: listen?,
        address: frame_address?,
        admin: admin?,
        user,
        ready,
        grace,
        placement,
        scheduling,
    })
}

fn read_control(table: &Table<'_>) -> Option<Control> {
    let frame_address = address(table, "address");
    let admin = address(table, "admin");
    let user =
        table.optional("user", VALID_NAME).unwrap_or_else(|| DEFAULT_UPSTREAM_USER.to_owned());
    let gateway = optional_address(table, "gateway");
    let promoter = optional_address(table, "promoter");
    let quota = read_quota_bound(table);
    Some(Control { address: frame_address?, admin: admin?, user, gateway, promoter, quota })
}

/// Reads the bound on quotas. A template leaves an absent number empty, perhaps with its unit.
fn read_quota_bound(table: &Table<'_>) -> QuotaBound {
    let text = |key: &'static str, valid: &str| -> Option<String> {
        table.optional::<String>(key, valid).filter(|text| !text.is_empty() && text != "s")
    };
    let window = text("quota_window", VALID_QUOTA_WINDOW).and_then(|text| {
        let window = text.parse::<Span>().ok().filter(|span| QUOTA_WINDOW.contains(&span.0));
        if window.is_none() {
            table.fault("quota_window", format!("is {text:?}; valid: {VALID_QUOTA_WINDOW}"));
        }
        window
    });
    let excess = text("quota_excess", VALID_QUOTA_EXCESS).and_then(|text| {
        let excess = text.parse::<f64>().ok().filter(|excess| (0.0..=1.0).contains(excess));
        if excess.is_none() {
            table.fault("quota_excess", format!("is {text:?}; valid: {VALID_QUOTA_EXCESS}"));
        }
        excess
    });
    let slack = text("quota_slack", VALID_QUOTA_SLACK).and_then(|text| {
        let slack = text.parse::<u32>().ok().filter(|slack| *slack <= MAX_QUOTA_SLACK);
        if slack.is_none() {
            table.fault("quota_slack", format!("is {text:?}; valid: {VALID_QUOTA_SLACK}"));
        }
        slack
    });
    QuotaBound {
        window: window.map_or(Duration::ZERO, |span| span.0),
        excess: excess.unwrap_or(0.0),
        slack: slack.unwrap_or(0),
    }
}

fn optional_address(table: &Table<'_>, key: &'static str) -> Option<SocketAddr> {
    table.optional(key, VALID_ADDRESS)
}

fn address(table: &Table<'_>, key: &'static str) -> Option<SocketAddr> {
    let address: SocketAddr = table.required(key, VALID_ADDRESS)?;
    if address.port() == 0 {
        table.fault(
            key,
            format!("has port 0, on which no process can be reached; valid: {VALID_ADDRESS}"),
        );
        return None;
    }
    Some(address)
}

fn read_security(table: &Table<'_>) -> Security {
    let certificate = readable_file(table, "certificate");
    let key = secret(table, "key");
    if certificate.is_some()
        && key.is_none()
        && table.optional::<PathBuf>("key", VALID_PATH).is_none()
    {
        table.fault("key", "is missing; a certificate needs the file of its key");
    }
    if key.is_some() && certificate.is_none() {
        table.fault("certificate", "is missing; a key needs the file of its certificate");
    }
    Security {
        tls: certificate.zip(key).map(|(certificate, key)| Tls { certificate, key }),
        users: secret(table, "users"),
        upstream_password: secret(table, "upstream_password"),
        upstream_roots: readable_file(table, "upstream_roots"),
        keys: secret(table, "keys"),
        operators: secret(table, "operators"),
    }
}

fn readable_file(table: &Table<'_>, key: &'static str) -> Option<PathBuf> {
    let path: PathBuf = table.optional(key, VALID_PATH)?;
    match std::fs::File::open(&path) {
        Ok(_) => Some(path),
        Err(error) => {
            table.fault(key, format!("can't be read: {error}"));
            None
        }
    }
}

fn secret(table: &Table<'_>, key: &'static str) -> Option<Secret> {
    let path: PathBuf = table.optional(key, VALID_PATH)?;
    match Secret::open(path) {
        Ok(secret) => Some(secret),
        Err(error) => {
            table.fault(key, error.to_string());
            None
        }
    }
}

fn read_log(table: &Table<'_>) -> Log {
    let defaults = Log::default();
    let formats = [("text", Format::Text), ("json", Format::Json)];
    let levels = [
        ("error", log::LevelFilter::Error),
        ("warn", log::LevelFilter::Warn),
        ("info", log::LevelFilter::Info),
        ("debug", log::LevelFilter::Debug),
    ];
    Log {
        format: table.keyword("format", &formats).unwrap_or(defaults.format),
        level: table.keyword("level", &levels).unwrap_or(defaults.level),
        rate: table.optional("rate", "1/s to 100000/s").unwrap_or(defaults.rate),
    }
}

fn read_history(root: &Table<'_>) -> Size {
    let valid = format!("{} to {}", Size(*HISTORY_BYTES.start()), Size(*HISTORY_BYTES.end()));
    let size: Size = root.optional("history", &valid).unwrap_or(DEFAULT_HISTORY_SIZE);
    if !HISTORY_BYTES.contains(&size.0) {
        root.fault("history", format!("is out of range; valid: {valid}"));
    }
    size
}

fn check_roles(root: &Table<'_>, settings: &Settings) {
    if settings.proxy.is_none() && settings.control.is_none() {
        root.fault("proxy", "is missing; a process needs a [proxy] or a [control] table");
    }
    if settings.control.is_some() && settings.data.is_none() {
        root.fault("data", "is missing; a control process needs a data folder on a disk");
    }
    if settings.data.as_ref().is_some_and(|data| data.is_file()) {
        root.fault("data", "is a file; valid: a folder, or a path at which one can be created");
    }
}

fn check_voters(root: &Table<'_>, settings: &Settings) {
    if settings.voters.is_empty() && settings.seeds.is_none() {
        root.fault("voters", "is missing; valid: a list with every control process");
    }
    let mut seen = BTreeSet::new();
    for voter in &settings.voters {
        if !seen.insert(&voter.node) {
            root.fault("voters", format!("names {} twice", voter.node));
        }
    }
    let addresses: BTreeSet<SocketAddr> =
        settings.voters.iter().map(|voter| voter.address).collect();
    if addresses.len() < settings.voters.len() {
        root.fault("voters", "gives one address to two processes");
    }
    let own = settings.voters.iter().find(|voter| voter.node == settings.node);
    if let (Some(own), Some(control)) = (own, &settings.control)
        && own.address.port() != control.address.port()
    {
        let problem = format!(
            "gives {} as the address of this process, but control.address is {}",
            own.address, control.address
        );
        root.fault("voters", problem);
    }
}

/// Reports listeners of the same transport that share an address and port.
fn check_listeners(root: &Table<'_>, settings: &Settings) {
    let mut tcp = Vec::new();
    let mut udp = Vec::new();
    if let Some(proxy) = &settings.proxy {
        tcp.extend([("proxy.listen", proxy.listen), ("proxy.admin", proxy.admin)]);
        tcp.extend(proxy.ready.map(|ready| ("proxy.ready", ready)));
        udp.push(("proxy.address", proxy.address));
    }
    if let Some(control) = &settings.control {
        tcp.extend([("control.address", control.address), ("control.admin", control.admin)]);
        tcp.extend(control.gateway.map(|gateway| ("control.gateway", gateway)));
        udp.push(("control.address", control.address));
    }
    for listeners in [tcp, udp] {
        for (at, (key, address)) in listeners.iter().enumerate() {
            for (other, taken) in &listeners[..at] {
                if overlaps(*address, *taken) {
                    let table = key.split_once('.').map_or(*key, |(table, _)| table);
                    let problem = format!("{key} = {address} clashes with {other} = {taken}");
                    root.fault(table, problem);
                }
            }
        }
    }
}

fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (any || a.ip() == b.ip())
}
