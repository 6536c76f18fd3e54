//! The bench's command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use cactushatch::config::Span;
use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{check, drill, link, load, measure, ready, standin};

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Fails when the command does.
pub fn run() -> anyhow::Result<()> {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("standin", matches)) => standin::run(standin_settings(matches)?),
        Some(("ports", matches)) => ports(matches),
        Some(("ready", matches)) => ready(matches),
        Some(("load", matches)) => load(matches),
        Some(("link", matches)) => link(matches),
        Some(("check", matches)) => check(matches),
        Some(("prove", matches)) => prove(matches),
        Some(("measure", matches)) => measure(matches),
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
        .subcommand(load_command())
        .subcommand(link_command())
        .subcommand(check_command())
        .subcommand(prove_command())
        .subcommand(measure_command())
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

fn link_command() -> Command {
    Command::new("link")
        .about("Relays the frames of control processes, and cuts failure domains off on command")
        .arg(Arg::new("control").long("control").required(true).help("Where it takes commands"))
        .arg(Arg::new("domains").long("domains").required(true).help("The domain of each node"))
        .arg(
            Arg::new("route")
                .long("route")
                .action(ArgAction::Append)
                .help("NODE,LISTEN,TARGET of a control process"),
        )
}

fn link(matches: &ArgMatches) -> anyhow::Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let mut routes = Vec::new();
    for route in matches.get_many::<String>("route").unwrap_or_default() {
        let mut parts = route.split(',');
        let (Some(node), Some(listen), Some(target)) = (parts.next(), parts.next(), parts.next())
        else {
            anyhow::bail!("{route} is no route such as NODE,LISTEN,TARGET");
        };
        let node = node.to_owned();
        routes.push(link::Route { node, listen: listen.parse()?, target: target.parse()? });
    }
    link::run(text("control").parse()?, std::path::Path::new(&text("domains")), &routes)
}

fn load_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = clap::value_parser!(u64);
        Arg::new(name).long(name).default_value(default).value_parser(parser).help(help)
    };
    let span = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("load")
        .about("Runs sessions against a fleet and records their history in its folder")
        .arg(Arg::new("dir").required(true).help("The fleet's folder"))
        .arg(number("sessions", "60", "How many sessions run at once"))
        .arg(number("probers", "0", "Callers for each group and proxy that only write"))
        .arg(span("lasts", "5s", "How long requests are sent"))
        .arg(span("rush", "0us", "Within which time all sessions arrive"))
        .arg(number("reads", "80", "The share of reads, in percent"))
        .arg(number("roam", "5", "How often a session changes its proxy, in percent of requests"))
        .arg(span("pause", "0us", "How long a session waits between requests"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_parser(clap::value_parser!(u32))
                .help("Requests a second that arrive in an open loop"),
        )
        .arg(number("seed", "1", "The seed of all choices"))
        .arg(
            Arg::new("do")
                .long("do")
                .action(ArgAction::Append)
                .help("An action, such as \"3s kill primary:ops-1\""),
        )
}

fn load(matches: &ArgMatches) -> anyhow::Result<()> {
    let summary = load::run(load_settings(matches)?)?;
    println!("{}", serde_json::to_string(&summary)?);
    Ok(())
}

fn load_settings(matches: &ArgMatches) -> anyhow::Result<load::Settings> {
    let dir = matches.get_one::<String>("dir").context("no folder is given")?;
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let actions = matches.get_many::<String>("do").unwrap_or_default();
    let actions: Result<Vec<load::Action>, String> = actions.map(|text| text.parse()).collect();
    Ok(load::Settings {
        dir: PathBuf::from(dir),
        sessions: number("sessions") as usize,
        probers: number("probers") as usize,
        duration: span(matches, "lasts")?,
        ramp_up: span(matches, "rush")?,
        read_percent: number("reads") as u32,
        roam_percent: number("roam") as u32,
        think_time: span(matches, "pause")?,
        rate: matches.get_one::<u32>("rate").copied(),
        seed: number("seed"),
        actions: actions.map_err(anyhow::Error::msg)?,
    })
}

fn span(matches: &ArgMatches, name: &str) -> anyhow::Result<Duration> {
    let text = matches.get_one::<String>(name).with_context(|| format!("no {name} is given"))?;
    let span: Result<Span, String> = text.parse();
    Ok(span.map_err(anyhow::Error::msg)?.0)
}

fn check_command() -> Command {
    Command::new("check")
        .about("Decides from a fleet's history and databases whether the rules held")
        .arg(Arg::new("dir").required(true).help("The fleet's folder"))
}

fn prove_command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(clap::value_parser!(u64)).help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("prove")
        .about("Runs failure drills on separate processes")
        .arg(Arg::new("name").action(ArgAction::Append).help("The drills; all without a name"))
        .arg(flag("short", "Runs the short set"))
        .arg(flag("list", "Prints the drills"))
        .arg(Arg::new("skip").long("skip").action(ArgAction::Append).help("A drill to pass over"))
        .arg(number("seed", "The seed; a random one without it, 1 for the short set"))
        .arg(number("runs", "How often each drill runs").default_value("1"))
        .arg(Arg::new("profile").long("profile").default_value("imena").help("The deployment"))
}

fn prove(matches: &ArgMatches) -> anyhow::Result<()> {
    if matches.get_flag("list") {
        drill::print();
        return Ok(());
    }
    let short = matches.get_flag("short");
    let default_seed = if short { 1 } else { fastrand::u64(1..1_000_000) };
    let profile = matches.get_one::<String>("profile").context("no profile is given")?;
    let settings = drill::Settings {
        names: matches.get_many::<String>("name").unwrap_or_default().cloned().collect(),
        skipped: matches.get_many::<String>("skip").unwrap_or_default().cloned().collect(),
        short,
        seed: matches.get_one::<u64>("seed").copied().unwrap_or(default_seed),
        runs: matches.get_one::<u64>("runs").copied().unwrap_or(1),
        profile: profile.clone(),
    };
    let (passed, failed) = drill::run(&settings)?;
    println!("{passed} passed, {failed} failed");
    anyhow::ensure!(failed == 0, "a drill failed");
    Ok(())
}

fn measure_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = clap::value_parser!(u64);
        Arg::new(name).long(name).default_value(default).value_parser(parser).help(help)
    };
    Command::new("measure")
        .about("Takes measurements")
        .arg(Arg::new("name").action(ArgAction::Append).help("Which; all without a name"))
        .arg(number("runs", "1", "How often each one runs"))
        .arg(number("seed", "1", "The seed of the first run"))
        .arg(Arg::new("out").long("out").required(true).help("The folder for the files"))
        .arg(Arg::new("label").long("label").required(true).help("What was built"))
}

fn measure(matches: &ArgMatches) -> anyhow::Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    measure::run(&measure::Settings {
        names: matches.get_many::<String>("name").unwrap_or_default().cloned().collect(),
        runs: matches.get_one::<u64>("runs").copied().unwrap_or(1),
        seed: matches.get_one::<u64>("seed").copied().unwrap_or(1),
        out: PathBuf::from(text("out")),
        label: text("label"),
    })
}

/// How many violations of a rule are printed.
const PRINTED: usize = 5;

fn check(matches: &ArgMatches) -> anyhow::Result<()> {
    let dir = matches.get_one::<String>("dir").context("no folder is given")?;
    let report = check::run(std::path::Path::new(dir))?;
    for (outcome, count) in &report.outcomes {
        println!("outcome {outcome}: {count}");
    }
    for gap in &report.gaps {
        println!("gap after {} of {}: {}", gap.what, gap.target, milliseconds(gap.milliseconds));
    }
    if let Some(worst) = check::worst(&report.gaps) {
        println!("failover_gap_ms: {}", milliseconds(worst.milliseconds));
    }
    for rule in check::RULES {
        println!("{rule}: {}", report.count(rule));
        let of_rule = report.violations.iter().filter(|violation| violation.rule == rule);
        for violation in of_rule.take(PRINTED) {
            println!("  {}", violation.seen);
        }
    }
    anyhow::ensure!(report.violations.is_empty(), "the history is rejected");
    let ended = report.gaps.iter().all(|gap| gap.milliseconds.is_some());
    anyhow::ensure!(ended, "writes did not come back");
    Ok(())
}

fn milliseconds(length: Option<f64>) -> String {
    length.map_or("none".to_owned(), |length| format!("{length:.1}"))
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
        .arg(span("instances", "3", "How many instances the group has"))
        .arg(span("connections", "16", "How many connections it takes"))
        .arg(span("connect-time", "10ms", "How long a new connection takes"))
        .arg(span("service-time", "500us", "How long a statement holds its slot"))
        .arg(span("lag", "5ms", "How long after its commit a replica applies a transaction"))
        .arg(span("delay", "1ms", "How long a message between instances takes"))
}

fn standin_settings(matches: &ArgMatches) -> anyhow::Result<standin::Settings> {
    let text = |name: &str| matches.get_one::<String>(name).expect("clap checked it").as_str();
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
        instances: text("instances").parse()?,
        connections: text("connections").parse()?,
        connect_time: span(matches, "connect-time")?,
        service_time: span(matches, "service-time")?,
        lag: span(matches, "lag")?,
        delay: span(matches, "delay")?,
        follow: follow.map(|text| address(text)).transpose()?,
        announce: announce.map(|text| address(text)).collect::<anyhow::Result<_>>()?,
    })
}
