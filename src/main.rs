//! The `cactushatch` binary: it reads the command line, runs a command, and returns an exit code.

use std::process::ExitCode;

fn main() -> ExitCode {
    match cactushatch::cli::run() {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("[cactushatch error]: {}", cactushatch::cli::describe(&error));
            cactushatch::cli::Exit::of(&error).into()
        }
    }
}
