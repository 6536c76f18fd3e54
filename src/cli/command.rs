//! The command line, as clap builds it.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Returns the whole command line.
pub fn command() -> Command {
    Command::new("cactushatch")
        .about("A database proxy with session consistency")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(process("proxy", "Serve callers"))
        .subcommand(process("control", "Keep the durable decisions on a VM with a disk"))
        .subcommand(check())
        .subcommand(plan())
        .subcommand(confirm())
        .subcommand(status())
}

fn process(name: &'static str, about: &'static str) -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings of this process, in TOML");
    Command::new(name).about(about).arg(settings)
}

fn check() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .help("Check the settings of a process");
    Command::new("check")
        .about("Check declarations or settings without a running system")
        .arg(declarations().required(false).required_unless_present("settings"))
        .arg(settings)
}

fn declarations() -> Arg {
    Arg::new("declarations")
        .value_name("DECLARATIONS")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The declarations of the fleet, in TOML")
}

fn plan() -> Command {
    online("plan", "Show what declarations would change, and keep that as a plan")
        .arg(declarations())
}

fn confirm() -> Command {
    online("confirm", "Carry out a plan").arg(
        Arg::new("plan")
            .value_name("PLAN")
            .required(true)
            .help("The plan's id, as `plan` printed it"),
    )
}

fn status() -> Command {
    online("status", "Show groups, instances and proxies")
}

fn online(name: &'static str, about: &'static str) -> Command {
    let admin = Arg::new("admin")
        .long("admin")
        .value_name("ADDRESS")
        .required(true)
        .action(ArgAction::Append)
        .env("CACTUSHATCH_ADMIN")
        .value_delimiter(',')
        .help("The admin address of a control process; several are tried in turn");
    let operator = Arg::new("operator")
        .long("operator")
        .value_name("NAME")
        .env("USER")
        .default_value("operator")
        .help("Who orders this, for the record");
    let resend = Arg::new("command")
        .long("command")
        .value_name("ID")
        .help("The id of a command whose answer was lost; it gets its first answer again");
    let json =
        Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON for programs");
    Command::new(name).about(about).args([admin, operator, resend, json])
}
