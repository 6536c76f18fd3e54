//! The command line, as clap builds it.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use super::exit::EXITS;
use crate::config::Span;
use crate::id;

/// Returns the whole command line.
pub fn command() -> Command {
    Command::new("cactushatch")
        .about("A database proxy with session consistency")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(exits())
        .subcommand(process("proxy", "Serve callers"))
        .subcommand(process("control", "Keep the durable decisions on a VM with a disk"))
        .subcommand(check())
        .subcommand(plan())
        .subcommand(confirm())
        .subcommand(status())
        .subcommand(drain())
        .subcommand(undrain())
        .subcommand(peak())
        .subcommand(member())
        .subcommand(explain())
        .subcommand(report())
        .subcommand(secret())
        .subcommand(completions())
        .subcommand(man())
}

fn exits() -> String {
    let lines = EXITS.map(|(exit, meaning)| format!("  {}  {meaning}", exit.code()));
    format!("Exit codes:\n{}", lines.join("\n"))
}

fn process(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(settings().required(true).help("The settings of this process, in TOML"))
        .after_help(format!(
            "Example:\n  cactushatch {name} --settings /etc/cactushatch/{name}.toml"
        ))
}

fn settings() -> Arg {
    Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

fn check() -> Command {
    Command::new("check")
        .about("Check declarations or settings without a running system")
        .arg(declarations().required(false).required_unless_present("settings"))
        .arg(settings().help("Check the settings of a process"))
        .after_help(
            "Examples:\n  cactushatch check groups.toml\n  \
             cactushatch check --settings /etc/cactushatch/proxy.toml",
        )
}

fn declarations() -> Arg {
    Arg::new("declarations")
        .value_name("DECLARATIONS")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The declarations of the fleet, in TOML")
}

fn plan() -> Command {
    changing("plan", "Show what declarations would change, and keep that as a plan")
        .arg(declarations())
        .after_help(
            "Examples:\n  cactushatch plan groups.toml\n  \
             cactushatch plan groups.toml --confirm PLAN",
        )
}

fn confirm() -> Command {
    ordering("confirm", "Carry out a plan")
        .arg(
            Arg::new("plan")
                .value_name("PLAN")
                .required(true)
                .value_parser(value_parser!(id::Plan))
                .help("The plan's id, as the planning command printed it"),
        )
        .after_help("Example:\n  cactushatch confirm plan-1f2e3d4c5b6a7988")
}

fn status() -> Command {
    online("status", "Show groups, instances, voters and proxies").after_help(
        "Examples:\n  cactushatch status\n  cactushatch status --admin 10.0.0.10:7001 --json",
    )
}

fn instance() -> Arg {
    Arg::new("instance")
        .value_name("INSTANCE")
        .required(true)
        .value_parser(value_parser!(id::Instance))
        .help("The instance, as `status` shows it")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show what the logs say of one request")
        .arg(
            Arg::new("request")
                .value_name("ID")
                .required(true)
                .help("The request's id, as its caller knows it"),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("The logs of all processes, as JSON; standard input without any"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print one JSON object"))
        .after_help(
            "Examples:\n  cactushatch explain 5c0e7a21d94b36f8 /var/log/cactushatch/*\n  \
             collect-logs | cactushatch explain 5c0e7a21d94b36f8 --json",
        )
}

fn drain() -> Command {
    changing("drain", "Have an instance get no new work; a primary hands over first")
        .arg(instance())
        .after_help(
            "Examples:\n  cactushatch drain ops-1-2\n  cactushatch drain ops-1-2 --confirm PLAN",
        )
}

fn undrain() -> Command {
    changing("undrain", "Give work to a drained instance again").arg(instance()).after_help(
        "Examples:\n  cactushatch undrain ops-1-2\n  cactushatch undrain ops-1-2 --confirm PLAN",
    )
}

fn peak() -> Command {
    changing("peak", "Prepare a group for callers that arrive at once")
        .arg(
            Arg::new("group")
                .value_name("GROUP")
                .required(true)
                .value_parser(value_parser!(id::Group))
                .help("The group"),
        )
        .arg(Arg::new("at").long("at").value_name("TIME").required(true).help(
            "When it begins: the next HH:MM in UTC, +SPAN from now, or milliseconds since 1970",
        ))
        .arg(
            Arg::new("lasts")
                .long("lasts")
                .value_name("SPAN")
                .required(true)
                .value_parser(value_parser!(Span))
                .help("How long it lasts, such as 20m"),
        )
        .after_help("Example:\n  cactushatch peak ops-1 --at 05:30 --lasts 20m")
}

fn member() -> Command {
    Command::new("member")
        .about("List or change the control processes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(online("list", "Show the control processes"))
        .subcommand(voter("add", "Add a control process; it votes once it holds the log"))
        .subcommand(changing("remove", "Remove a control process").arg(node()))
        .subcommand(voter("replace", "Take a control process back whose disk was lost"))
        .after_help(
            "Examples:\n  cactushatch member list\n  \
             cactushatch member add control-4 --address 10.0.3.10:7000 --domain d\n  \
             cactushatch member replace control-2 --address 10.0.1.10:7000 --domain b",
        )
}

fn node() -> Arg {
    Arg::new("node")
        .value_name("NODE")
        .required(true)
        .value_parser(value_parser!(id::Node))
        .help("The control process")
}

fn voter(name: &'static str, about: &'static str) -> Command {
    changing(name, about)
        .arg(node())
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Where it takes frames"),
        )
        .arg(
            Arg::new("domain")
                .long("domain")
                .value_name("DOMAIN")
                .required(true)
                .value_parser(value_parser!(id::Domain))
                .help("Its failure domain"),
        )
}

fn report() -> Command {
    let proxy = Arg::new("proxy")
        .long("proxy")
        .value_name("ADDRESS")
        .required(true)
        .action(ArgAction::Append)
        .env("CACTUSHATCH_PROXIES")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("The admin address of a proxy; all proxies make the whole report");
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
    };
    Command::new("report")
        .about("Show what was spent of the objectives' budgets, how fast, and by what")
        .args([proxy, token(), json()])
        .arg(file("svg", "Write a picture of the burn rates as well"))
        .arg(file("html", "Write a page with the picture and the text as well"))
        .after_help(
            "Example:\n  cactushatch report --proxy 10.0.0.20:7001,10.0.1.20:7001 --html burn.html",
        )
}

fn secret() -> Command {
    let name = || Arg::new("name").value_name("NAME").required(true).help("Whose it is");
    let number = Arg::new("number")
        .value_name("NUMBER")
        .required(true)
        .value_parser(value_parser!(u8).range(1..))
        .help("The key's number in the ring, 1 to 255");
    Command::new("secret")
        .about("Make the lines of the files that hold secrets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("key").about("Print a new line for a key ring").arg(number))
        .subcommand(
            Command::new("user")
                .about("Read a password from standard input and print the line of a user")
                .arg(name()),
        )
        .subcommand(
            Command::new("operator")
                .about("Write a new token to a file and print the line of an operator")
                .arg(name().value_parser(value_parser!(id::Operator)))
                .arg(
                    Arg::new("token")
                        .long("token")
                        .value_name("FILE")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("The file to write the token to; it must not exist"),
                ),
        )
        .after_help(
            "Examples:\n  cactushatch secret key 1 >> /etc/cactushatch/keys\n  \
             cactushatch secret user anna < password >> /etc/cactushatch/users\n  \
             cactushatch secret operator anna --token anna.token >> /etc/cactushatch/operators",
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print the completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell))
                .help("The shell"),
        )
        .after_help("Example:\n  cactushatch completions bash > /etc/bash_completion.d/cactushatch")
}

fn man() -> Command {
    Command::new("man")
        .about("Print the man page, or write one for each command into a folder")
        .arg(
            Arg::new("dir")
                .long("dir")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("The folder"),
        )
        .after_help("Example:\n  cactushatch man --dir /usr/local/share/man/man1")
}

fn token() -> Arg {
    Arg::new("token")
        .long("token")
        .value_name("FILE")
        .env("CACTUSHATCH_TOKEN")
        .value_parser(value_parser!(PathBuf))
        .help("The file with the operator's token")
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON for programs")
}

/// A command that asks a running control process.
pub(super) fn online(name: &'static str, about: &'static str) -> Command {
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("ADDRESS")
        .required(true)
        .action(ArgAction::Append)
        .env("CACTUSHATCH_ADMIN")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("The admin address of a control process; several are tried in turn");
    Command::new(name).about(about).args([admin, token(), json()])
}

/// A command that orders something of control.
fn ordering(name: &'static str, about: &'static str) -> Command {
    let operator = Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .env("USER")
        .default_value("operator")
        .value_parser(value_parser!(id::Operator))
        .help("Who orders this, for the record; a token's name goes before it");
    let resend = Arg::new("command")
        .long("command")
        .value_name("ID")
        .value_parser(value_parser!(id::Command))
        .help("The id of a command whose answer was lost; it gets its first answer again");
    online(name, about).args([operator, resend])
}

/// A command that makes a plan first, and carries it out when it is confirmed.
fn changing(name: &'static str, about: &'static str) -> Command {
    let confirm = Arg::new("confirm")
        .long("confirm")
        .value_name("PLAN")
        .value_parser(value_parser!(id::Plan))
        .help("Carry out this plan, which the same command made before");
    ordering(name, about).arg(confirm)
}
