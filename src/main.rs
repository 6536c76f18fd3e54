//! The `cactushatch` binary: parses the command line, runs the command, and returns its exit code.

use std::process::ExitCode;

#[path = "../platform/mod.rs"]
mod platform;

fn main() -> ExitCode {
    match cactushatch::cli::run(&[platform::extension()]) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("[cactushatch error]: {}", cactushatch::cli::format_error(&error));
            cactushatch::cli::Exit::from_error(&error).into()
        }
    }
}
