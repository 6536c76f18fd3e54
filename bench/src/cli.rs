//! Command line of the bench.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use cactushatch::config::Span;
use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{check, drill, link, load, measure, ready, standin};

/// Parses the arguments and runs the subcommand.
///
/// # Errors
///
/// Fails if the subcommand does.
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
        _ => anyhow::bail!("unknown subcommand"),
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
        .about("Checks that every proxy of a fleet serves every group")
        .arg(Arg::new("dir").long("dir").required(true))
        .arg(
            Arg::new("groups")
                .long("groups")
                .required(true)
                .help("The groups, separated by spaces"),
        )
}

fn ready(matches: &ArgMatches) -> anyhow::Result<()> {
    let dir = matches.get_one::<String>("dir").context("no directory given")?;
    let groups = matches.get_one::<String>("groups").context("--groups is missing")?;
    let groups: Vec<&str> = groups.split_whitespace().collect();
    ready::check(std::path::Path::new(dir), &groups)
}

fn link_command() -> Command {
    Command::new("link")
        .about("Relays frames to control processes and cuts off failure domains on command")
        .arg(Arg::new("control").long("control").required(true).help("Address that takes commands"))
        .arg(
            Arg::new("domains")
                .long("domains")
                .required(true)
                .help("File with the failure domain of each process"),
        )
        .arg(
            Arg::new("route")
                .long("route")
                .action(ArgAction::Append)
                .help("Route to a control process, as NODE,LISTEN,TARGET"),
        )
}

fn link(matches: &ArgMatches) -> anyhow::Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let mut routes = Vec::new();
    for route in matches.get_many::<String>("route").unwrap_or_default() {
        let mut parts = route.split(',');
        let (Some(node), Some(listen), Some(target)) = (parts.next(), parts.next(), parts.next())
        else {
            anyhow::bail!("malformed route {route:?}: expected NODE,LISTEN,TARGET");
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
        .about("Runs sessions against a fleet and records their history in its directory")
        .arg(Arg::new("dir").required(true).help("Directory of the fleet"))
        .arg(number("sessions", "60", "Number of concurrent sessions"))
        .arg(number("probers", "0", "Number of write-only callers for each group and proxy"))
        .arg(span("lasts", "5s", "Duration of the load"))
        .arg(span("rush", "0us", "Time within which all sessions start"))
        .arg(number("reads", "80", "Share of reads, in percent"))
        .arg(number(
            "roam",
            "5",
            "Share of requests after which a session changes its proxy, in percent",
        ))
        .arg(span("pause", "0us", "Pause of a session between requests"))
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_parser(clap::value_parser!(u32))
                .help("Arrival rate of an open loop, in requests per second"),
        )
        .arg(number("seed", "1", "Seed of the random choices"))
        .arg(
            Arg::new("do")
                .long("do")
                .action(ArgAction::Append)
                .help("Action on a process, such as \"3s kill primary:ops-1\""),
        )
}

fn load(matches: &ArgMatches) -> anyhow::Result<()> {
    let summary = load::run(load_settings(matches)?)?;
    println!("{}", serde_json::to_string(&summary)?);
    Ok(())
}

fn load_settings(matches: &ArgMatches) -> anyhow::Result<load::Settings> {
    let dir = matches.get_one::<String>("dir").context("no directory given")?;
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let actions = matches.get_many::<String>("do").unwrap_or_default();
    let actions: Result<Vec<load::Action>, String> = actions.map(|text| text.parse()).collect();
    Ok(load::Settings {
        dir: PathBuf::from(dir),
        sessions: number("sessions") as usize,
        probers: number("probers") as usize,
        duration: parse_span(matches, "lasts")?,
        ramp_up: parse_span(matches, "rush")?,
        read_percent: number("reads") as u32,
        roam_percent: number("roam") as u32,
        think_time: parse_span(matches, "pause")?,
        rate: matches.get_one::<u32>("rate").copied(),
        seed: number("seed"),
        actions: actions.map_err(anyhow::Error::msg)?,
    })
}

fn parse_span(matches: &ArgMatches, name: &str) -> anyhow::Result<Duration> {
    let text = matches.get_one::<String>(name).with_context(|| format!("--{name} is missing"))?;
    let span: Result<Span, String> = text.parse();
    Ok(span.map_err(anyhow::Error::msg)?.0)
}

fn check_command() -> Command {
    Command::new("check")
        .about("Checks the rules against the history and the databases of a fleet")
        .arg(Arg::new("dir").required(true).help("Directory of the fleet"))
}

fn prove_command() -> Command {
    let number = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(clap::value_parser!(u64)).help(help)
    };
    let flag = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).action(ArgAction::SetTrue).help(help)
    };
    Command::new("prove")
        .about("Runs failure drills on a fleet of processes")
        .arg(Arg::new("name").action(ArgAction::Append).help("Drills to run; all if none is given"))
        .arg(flag("short", "Runs the short set of drills"))
        .arg(flag("list", "Lists the drills"))
        .arg(Arg::new("skip").long("skip").action(ArgAction::Append).help("Drill to skip"))
        .arg(number("seed", "Seed; random by default, 1 for the short set"))
        .arg(number("runs", "Number of runs of each drill").default_value("1"))
        .arg(
            Arg::new("profile")
                .long("profile")
                .default_value("imena")
                .help("Profile of the deployment, from examples/"),
        )
}

fn prove(matches: &ArgMatches) -> anyhow::Result<()> {
    if matches.get_flag("list") {
        drill::print();
        return Ok(());
    }
    let short = matches.get_flag("short");
    let default_seed = if short { 1 } else { fastrand::u64(1..1_000_000) };
    let profile = matches.get_one::<String>("profile").context("--profile is missing")?;
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
    anyhow::ensure!(failed == 0, "failed drills: {failed}");
    Ok(())
}

fn measure_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        let parser = clap::value_parser!(u64);
        Arg::new(name).long(name).default_value(default).value_parser(parser).help(help)
    };
    Command::new("measure")
        .about("Runs measurements")
        .arg(
            Arg::new("name")
                .action(ArgAction::Append)
                .help("Measurements to run; all if none is given"),
        )
        .arg(number("runs", "1", "Number of runs of each measurement"))
        .arg(number("seed", "1", "Seed of the first run"))
        .arg(Arg::new("out").long("out").required(true).help("Directory for the results"))
        .arg(
            Arg::new("label")
                .long("label")
                .required(true)
                .help("Label of the build, for the results"),
        )
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

const MAX_PRINTED_VIOLATIONS: usize = 5;

fn check(matches: &ArgMatches) -> anyhow::Result<()> {
    let dir = matches.get_one::<String>("dir").context("no directory given")?;
    let report = check::run(std::path::Path::new(dir))?;
    for (outcome, count) in &report.outcomes {
        println!("outcome {outcome}: {count}");
    }
    for gap in &report.gaps {
        println!(
            "gap after {} of {}: {}",
            gap.what,
            gap.target,
            format_milliseconds(gap.milliseconds)
        );
    }
    if let Some(worst) = check::worst(&report.gaps) {
        println!("failover_gap_ms: {}", format_milliseconds(worst.milliseconds));
    }
    for rule in check::RULES {
        println!("{rule}: {}", report.count(rule));
        let violations = report.violations.iter().filter(|violation| violation.rule == rule);
        for violation in violations.take(MAX_PRINTED_VIOLATIONS) {
            println!("  {}", violation.seen);
        }
    }
    anyhow::ensure!(report.violations.is_empty(), "the history violates at least one rule");
    let resumed = report.gaps.iter().all(|gap| gap.milliseconds.is_some());
    anyhow::ensure!(resumed, "writes did not resume after a fault");
    Ok(())
}

fn format_milliseconds(value: Option<f64>) -> String {
    value.map_or("none".to_owned(), |value| format!("{value:.1}"))
}

fn ports_command() -> Command {
    Command::new("ports")
        .about("Claims COUNT consecutive free ports on loopback and prints the first")
        .arg(Arg::new("count").required(true).value_parser(clap::value_parser!(u16)))
}

fn ports(matches: &ArgMatches) -> anyhow::Result<()> {
    let count = *matches.get_one::<u16>("count").context("no count given")?;
    let claims = std::env::temp_dir().join(crate::ports::CLAIMS);
    println!("{}", crate::ports::claim(&claims, count)?);
    Ok(())
}

fn standin_command() -> Command {
    let required = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).required(true).help(help)
    };
    let span = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    Command::new("standin")
        .about("Runs a stand-in instance; the fault port is its port plus two")
        .arg(required("group", "Name of the group"))
        .arg(required("instance", "Name of the instance"))
        .arg(required("domain", "Failure domain of the instance"))
        .arg(required("listen", "Listen address; replication listens on the next port"))
        .arg(required("data", "Directory for the log and the database"))
        .arg(Arg::new("follow").long("follow").help("Primary to follow at the start, if any"))
        .arg(
            Arg::new("announce")
                .long("announce")
                .action(ArgAction::Append)
                .help("Admin address of a proxy that gets announcements"),
        )
        .arg(span("slots", "2", "Number of statements that run at once"))
        .arg(span("instances", "3", "Number of instances in the group"))
        .arg(span("connections", "16", "Connection limit"))
        .arg(span("connect-time", "10ms", "Time to open a connection"))
        .arg(span("service-time", "500us", "Slot time of a statement, besides its execution"))
        .arg(span("lag", "5ms", "Time after receiving a transaction until a replica applies it"))
        .arg(span("delay", "1ms", "Delay of each batch from the primary to a follower"))
}

fn standin_settings(matches: &ArgMatches) -> anyhow::Result<standin::Settings> {
    let text = |name: &str| matches.get_one::<String>(name).expect("argument has a value").as_str();
    let address = |text: &str| -> anyhow::Result<SocketAddr> {
        text.parse().with_context(|| format!("{text:?} is not a socket address"))
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
        connect_time: parse_span(matches, "connect-time")?,
        service_time: parse_span(matches, "service-time")?,
        lag: parse_span(matches, "lag")?,
        delay: parse_span(matches, "delay")?,
        follow: follow.map(|text| address(text)).transpose()?,
        announce: announce.map(|text| address(text)).collect::<anyhow::Result<_>>()?,
    })
}
