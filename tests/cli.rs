//! Runs the binary and checks exit codes, errors, help texts, plans and their confirmation.

mod env;

use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output};

use cactushatch::cli::Exit;
use env::Fleet;

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cactushatch"))
        .args(arguments)
        .env_remove("CACTUSHATCH_ADMIN")
        .env_remove("CACTUSHATCH_TOKEN")
        .env("USER", "anna")
        .output()
        .expect("the binary runs")
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the output is UTF-8")
}

/// Runs the command and checks its exit code; returns standard output and standard error.
fn expect_exit(exit: Exit, arguments: &[&str]) -> (String, String) {
    let output = run(arguments);
    let (out, err) = (utf8(&output.stdout), utf8(&output.stderr));
    assert_eq!(output.status.code(), Some(i32::from(exit.code())), "{arguments:?}: {out}{err}");
    (out, err)
}

fn write_file(dir: &Path, name: &str, content: &str) -> String {
    let path = dir.join(name);
    std::fs::File::create(&path).unwrap().write_all(content.as_bytes()).unwrap();
    path.display().to_string()
}

#[test]
fn exit_code_reflects_the_kind_of_failure() {
    let dir = tempfile::tempdir().unwrap();
    let bad = write_file(dir.path(), "bad.toml", "[class.a]\npriority = 999\n[clas.b]\n");
    let (_, err) = expect_exit(Exit::Invalid, &["check", &bad]);
    assert_eq!(err.matches("[cactushatch error]").count(), 1, "{err}");
    assert_eq!(err.lines().count(), 3, "{err}");
    expect_exit(Exit::Invalid, &["proxy", "--settings", &bad]);
    let empty = write_file(dir.path(), "keys", "# no key\n");
    let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
    std::fs::set_permissions(&empty, mode).unwrap();
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/imena/proxy-1.toml");
    let example = std::fs::read_to_string(example).unwrap();
    let settings = format!("{example}\n[security]\nkeys = \"{empty}\"\n");
    let settings = write_file(dir.path(), "proxy.toml", &settings);
    let (_, err) = expect_exit(Exit::Invalid, &["check", "--settings", &settings]);
    assert!(err.contains("there is no key"), "{err}");
    expect_exit(Exit::Usage, &["drain"]);
    expect_exit(
        Exit::Usage,
        &["peak", "g", "--at", "24:61", "--lasts", "1m", "--admin", "127.0.0.1:9"],
    );
    expect_exit(Exit::Usage, &["status", "--admin", "nowhere"]);
    expect_exit(Exit::Failure, &["check", "/nonexistent.toml"]);
    let unused_address =
        TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    let (_, err) = expect_exit(Exit::Unreachable, &["status", "--admin", &unused_address]);
    assert!(err.starts_with("[cactushatch error]: no process could be reached"), "{err}");
    expect_exit(Exit::Unreachable, &["drain", "ops-1-1", "--admin", &unused_address]);
}

#[test]
fn lost_answer_is_reported_as_unknown_with_the_command_id() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut byte = [0];
        std::io::Read::read_exact(&mut socket, &mut byte).unwrap();
    });
    let arguments = ["drain", "ops-1-1", "--admin", &address, "--command", "c-17"];
    let (_, err) = expect_exit(Exit::Unknown, &arguments);
    assert!(err.contains("--command c-17"), "{err}");
    server.join().unwrap();
}

#[test]
fn help_has_examples_and_completions_and_man_pages_are_generated() {
    for command in ["proxy", "control", "check", "plan", "status", "drain", "peak", "member"] {
        let (help, _) = expect_exit(Exit::Success, &[command, "--help"]);
        assert!(help.contains("Example"), "help of {command} has no example:\n{help}");
    }
    let (help, _) = expect_exit(Exit::Success, &["--help"]);
    assert!(help.contains("Exit codes:"), "{help}");
    for shell in ["bash", "zsh", "fish"] {
        let (script, _) = expect_exit(Exit::Success, &["completions", shell]);
        assert!(script.contains("undrain"), "{shell}");
    }
    let dir = tempfile::tempdir().unwrap();
    expect_exit(Exit::Success, &["man", "--dir", &dir.path().display().to_string()]);
    assert!(dir.path().join("cactushatch-member-replace.1").exists());
}

#[test]
fn change_takes_effect_only_once_its_plan_is_confirmed() {
    let fleet = Fleet::up();
    let admin = std::fs::read_to_string(fleet.path().join("admin")).unwrap();
    let admin = admin.lines().next().unwrap();
    let json = |arguments: &[&str]| -> serde_json::Value {
        let (out, _) =
            expect_exit(Exit::Success, &[arguments, &["--admin", admin, "--json"]].concat());
        assert!(!out.contains('\x1b'), "escape codes in output that is not a terminal: {out}");
        serde_json::from_str(&out).expect("the output is JSON")
    };
    let draining = || {
        let status = json(&["status"]);
        let instances = status["instances"].as_array().unwrap().clone();
        instances.iter().any(|i| i["instance"] == "ops-1-3" && i["draining"] == true)
    };
    let planned = json(&["drain", "ops-1-3"]);
    assert!(planned.to_string().contains("effects"), "{planned}");
    let plan = planned["planned"]["plan"].as_str().unwrap().to_owned();
    assert!(!draining(), "the plan took effect before it was confirmed");
    for other in [["drain", "ops-1-2"], ["undrain", "ops-1-3"]] {
        expect_exit(Exit::Usage, &[&other[..], &["--confirm", &plan, "--admin", admin]].concat());
    }
    assert!(!draining(), "the plan was confirmed by another command");
    json(&["drain", "ops-1-3", "--confirm", &plan]);
    assert!(draining(), "the confirmed plan had no effect");
    let confirm_again = ["confirm", &plan, "--admin", admin];
    let (_, err) = expect_exit(Exit::Refused, &confirm_again);
    assert!(err.contains(&plan), "{err}");
}
