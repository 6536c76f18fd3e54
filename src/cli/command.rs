//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

use super::exit::EXITS;
use crate::config::Span;
use crate::id;

/// Returns the command line with all commands of this library.
pub fn command() -> Command {
    Command::new("cactushatch")
        .about("A database proxy with session consistency")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(exit_codes())
        .subcommand(process("proxy", "Run a proxy, which serves callers"))
        .subcommand(process(
            "control",
            "Run a control process, which keeps the replicated log on a VM with a disk",
        ))
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

fn exit_codes() -> String {
    let lines = EXITS.map(|(exit, meaning)| format!("  {}  {meaning}", exit.code()));
    format!("Exit codes:\n{}", lines.join("\n"))
}

fn process(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(settings().required(true).help("Settings file of this process, in TOML"))
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
        .about("Check declarations or settings offline")
        .arg(declarations().required(false).required_unless_present("settings"))
        .arg(settings().help("Settings file of a process to check"))
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
        .help("Declarations of the fleet, in TOML")
}

fn plan() -> Command {
    planned_command("plan", "Show what declarations would change, and store it as a plan")
        .arg(declarations())
        .after_help(
            "Examples:\n  cactushatch plan groups.toml\n  \
             cactushatch plan groups.toml --confirm PLAN",
        )
}

fn confirm() -> Command {
    state_changing_command("confirm", "Carry out a plan")
        .arg(
            Arg::new("plan")
                .value_name("PLAN")
                .required(true)
                .value_parser(value_parser!(id::Plan))
                .help("Id of the plan, as printed by the command that made it"),
        )
        .after_help("Example:\n  cactushatch confirm plan-1f2e3d4c5b6a7988")
}

fn status() -> Command {
    control_command("status", "Show groups, instances, voters and proxies").after_help(
        "Examples:\n  cactushatch status\n  cactushatch status --admin 10.0.0.10:7001 --json",
    )
}

fn instance() -> Arg {
    Arg::new("instance")
        .value_name("INSTANCE")
        .required(true)
        .value_parser(value_parser!(id::Instance))
        .help("Name of the instance, as shown by `status`")
}

fn explain() -> Command {
    Command::new("explain")
        .about("Show what the logs record about a request")
        .arg(
            Arg::new("request")
                .value_name("ID")
                .required(true)
                .help("Id of the request, as known to its caller"),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Logs of all processes, as JSON; standard input if none is given"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print a JSON object"))
        .after_help(
            "Examples:\n  cactushatch explain 5c0e7a21d94b36f8 /var/log/cactushatch/*\n  \
             collect-logs | cactushatch explain 5c0e7a21d94b36f8 --json",
        )
}

fn drain() -> Command {
    planned_command(
        "drain",
        "Stop sending new work to an instance, after a switchover if it is a primary",
    )
    .arg(instance())
    .after_help(
        "Examples:\n  cactushatch drain ops-1-2\n  cactushatch drain ops-1-2 --confirm PLAN",
    )
}

fn undrain() -> Command {
    planned_command("undrain", "Resume sending work to a drained instance").arg(instance()).after_help(
        "Examples:\n  cactushatch undrain ops-1-2\n  cactushatch undrain ops-1-2 --confirm PLAN",
    )
}

fn peak() -> Command {
    planned_command("peak", "Prepare a group for a peak by opening connections ahead of it")
        .arg(
            Arg::new("group")
                .value_name("GROUP")
                .required(true)
                .value_parser(value_parser!(id::Group))
                .help("Name of the group"),
        )
        .arg(Arg::new("at").long("at").value_name("TIME").required(true).help(
            "Start of the peak: the next HH:MM in UTC, +SPAN from now, or milliseconds since 1970",
        ))
        .arg(
            Arg::new("lasts")
                .long("lasts")
                .value_name("SPAN")
                .required(true)
                .value_parser(value_parser!(Span))
                .help("Duration of the peak, such as 20m"),
        )
        .after_help("Example:\n  cactushatch peak ops-1 --at 05:30 --lasts 20m")
}

fn member() -> Command {
    Command::new("member")
        .about("List or change the control processes")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(control_command("list", "List the control processes"))
        .subcommand(voter("add", "Add a control process, which votes once it holds the log"))
        .subcommand(planned_command("remove", "Remove a control process").arg(node()))
        .subcommand(voter("replace", "Readmit a control process whose disk was lost"))
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
        .help("Name of the control process")
}

fn voter(name: &'static str, about: &'static str) -> Command {
    planned_command(name, about)
        .arg(node())
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("ADDRESS")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("Address on which it receives frames"),
        )
        .arg(
            Arg::new("domain")
                .long("domain")
                .value_name("DOMAIN")
                .required(true)
                .value_parser(value_parser!(id::Domain))
                .help("Failure domain of the control process"),
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
        .help("Admin address of a proxy; a complete report needs all proxies");
    let file = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name("FILE").value_parser(value_parser!(PathBuf)).help(help)
    };
    Command::new("report")
        .about("Show how much of the objectives' error budgets was spent, how fast, and by what")
        .args([proxy, token(), json()])
        .arg(file("svg", "Also write a chart of the burn rates, as SVG"))
        .arg(file("html", "Also write a page with the chart and the text, as HTML"))
        .after_help(
            "Example:\n  cactushatch report --proxy 10.0.0.20:7001,10.0.1.20:7001 --html burn.html",
        )
}

fn secret() -> Command {
    let name =
        || Arg::new("name").value_name("NAME").required(true).help("Name of the user or operator");
    let number = Arg::new("number")
        .value_name("NUMBER")
        .required(true)
        .value_parser(value_parser!(u8).range(1..))
        .help("Number of the key in the key ring, 1 to 255");
    Command::new("secret")
        .about("Generate the lines of secret files")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("key").about("Print a new line for a key ring").arg(number))
        .subcommand(
            Command::new("user")
                .about("Read a password from standard input and print the line for a user")
                .arg(name()),
        )
        .subcommand(
            Command::new("operator")
                .about("Write a new token to a file and print the line for an operator")
                .arg(name().value_parser(value_parser!(id::Operator)))
                .arg(
                    Arg::new("token")
                        .long("token")
                        .value_name("FILE")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("File to write the token to, which must not exist"),
                ),
        )
        .subcommand(Command::new("account").about(
            "Read the key of a client account from standard input and print its digest, for the declarations",
        ))
        .after_help(
            "Examples:\n  cactushatch secret key 1 >> /etc/cactushatch/keys\n  \
             cactushatch secret user anna < password >> /etc/cactushatch/users\n  \
             cactushatch secret operator anna --token anna.token >> /etc/cactushatch/operators\n  \
             cactushatch secret account < key",
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Print the completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(clap_complete::Shell))
                .help("Name of the shell"),
        )
        .after_help("Example:\n  cactushatch completions bash > /etc/bash_completion.d/cactushatch")
}

fn man() -> Command {
    Command::new("man")
        .about("Print the man page, or write one for each command into a directory")
        .arg(
            Arg::new("dir")
                .long("dir")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Directory for the man pages"),
        )
        .after_help("Example:\n  cactushatch man --dir /usr/local/share/man/man1")
}

fn token() -> Arg {
    Arg::new("token")
        .long("token")
        .value_name("FILE")
        .env("CACTUSHATCH_TOKEN")
        .value_parser(value_parser!(PathBuf))
        .help("File with the operator's token")
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

/// Returns a command that sends requests to a control process.
pub(super) fn control_command(name: &'static str, about: &'static str) -> Command {
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("ADDRESS")
        .required(true)
        .action(ArgAction::Append)
        .env("CACTUSHATCH_ADMIN")
        .value_delimiter(',')
        .value_parser(value_parser!(SocketAddr))
        .help("Admin address of a control process; several are tried in turn");
    Command::new(name).about(about).args([admin, token(), json()])
}

/// Returns a command that changes the state of the control plane, with an operator and a command id.
fn state_changing_command(name: &'static str, about: &'static str) -> Command {
    let operator = Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .env("USER")
        .default_value("operator")
        .value_parser(value_parser!(id::Operator))
        .help("Name of the operator to record; the name of a token takes precedence");
    let command_id = Arg::new("command")
        .long("command")
        .value_name("ID")
        .value_parser(value_parser!(id::Command))
        .help("Id of a command whose answer was lost, to get its first answer again");
    control_command(name, about).args([operator, command_id])
}

/// Returns a command that makes a plan, and carries it out when called again with `--confirm`.
fn planned_command(name: &'static str, about: &'static str) -> Command {
    let confirm = Arg::new("confirm")
        .long("confirm")
        .value_name("PLAN")
        .value_parser(value_parser!(id::Plan))
        .help("Plan to carry out, made before by the same command");
    state_changing_command(name, about).arg(confirm)
}
