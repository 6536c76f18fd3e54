//! The bench's command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use cactushatch::config::Span;
use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{ready, standin};

pub fn run() -> anyhow::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("standin", matches)) => standin::run(standin_settings(matches)?),
        Some(("ports", matches)) => ports(matches),
        Some(("ready", matches)) => ready(matches),
        _ => anyhow::bail!("no such command"),
    }
}

fn command() -> Command {
    Command::new("bench")
        .about("Stand-in upstream, load generator and history checker")
        .subcommand_required(true)
        .subcommand(standin_command())
        .subcommand(ports_command())
        .subcommand(ready_command())
}

fn ready_command() -> Command {
    Command::new("ready")
        .about("Fails unless every proxy of a fleet serves every group")
        .arg(Arg::new("dir").long("dir").required(true))
        .arg(
            Arg::new("groups")
                .long("groups")
                .required(true)
                .help("The groups, with blanks between"),
        )
}

fn ready(matches: &ArgMatches) -> anyhow::Result<()> {
    let dir = matches.get_one::<String>("dir").context("no folder is given")?;
    let groups = matches.get_one::<String>("groups").context("no groups are given")?;
    let groups: Vec<&str> = groups.split_whitespace().collect();
    ready::check(std::path::Path::new(dir), &groups)
}

fn ports_command() -> Command {
    Command::new("ports")
        .about("Prints the first of COUNT ports on loopback that are free in a row")
        .arg(Arg::new("count").required(true).value_parser(clap::value_parser!(u16)))
}

/// Ports below the range that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

fn ports(matches: &ArgMatches) -> anyhow::Result<()> {
    let count = *matches.get_one::<u16>("count").context("no count is given")?;
    for _ in 0..1_000 {
        let base = fastrand::u16(PORTS.start..PORTS.end - count);
        let free = |port| {
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            std::net::TcpListener::bind(address).is_ok()
                && std::net::UdpSocket::bind(address).is_ok()
        };
        if (base..base + count).all(free) {
            println!("{base}");
            return Ok(());
        }
    }
    anyhow::bail!("there are no {count} free ports in a row")
}

fn standin_command() -> Command {
    let required = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).required(true).help(help)
    };
    let span = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("standin")
        .about("Runs one stand-in instance; faults are set on its port plus two")
        .arg(required("group", "The group"))
        .arg(required("instance", "The instance"))
        .arg(required("domain", "The failure domain"))
        .arg(required("listen", "Where it takes connections"))
        .arg(required("data", "The folder for its files"))
        .arg(Arg::new("follow").long("follow").help("The primary to follow at first"))
        .arg(
            Arg::new("announce")
                .long("announce")
                .action(ArgAction::Append)
                .help("A proxy's admin address"),
        )
        .arg(span("slots", "2", "How many statements run at once"))
        .arg(span("connections", "16", "How many connections it takes"))
        .arg(span("connect-time", "10ms", "How long a new connection takes"))
        .arg(span("service-time", "500us", "How long a statement holds its slot"))
        .arg(span("lag", "5ms", "How long after its commit a replica applies a transaction"))
        .arg(span("delay", "1ms", "How long a message between instances takes"))
}

fn standin_settings(matches: &ArgMatches) -> anyhow::Result<standin::Settings> {
    let text = |name: &str| matches.get_one::<String>(name).expect("clap checked it").as_str();
    let span = |name: &str| -> anyhow::Result<Duration> {
        let span: Result<Span, String> = text(name).parse();
        Ok(span.map_err(anyhow::Error::msg)?.0)
    };
    let address = |text: &str| -> anyhow::Result<SocketAddr> {
        text.parse().with_context(|| format!("{text} is no address"))
    };
    let follow = matches.get_one::<String>("follow");
    let announce = matches.get_many::<String>("announce").unwrap_or_default();
    Ok(standin::Settings {
        group: text("group").parse()?,
        instance: text("instance").parse()?,
        domain: text("domain").parse()?,
        listen: address(text("listen"))?,
        data: PathBuf::from(text("data")),
        slots: text("slots").parse()?,
        connections: text("connections").parse()?,
        connect_time: span("connect-time")?,
        service_time: span("service-time")?,
        lag: span("lag")?,
        delay: span("delay")?,
        follow: follow.map(|text| address(text)).transpose()?,
        announce: announce.map(|text| address(text)).collect::<anyhow::Result<_>>()?,
    })
}
