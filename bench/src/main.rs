//! Entry point of the `bench` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    match bench::cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("[bench error]: {error:#}");
            ExitCode::FAILURE
        }
    }
}
