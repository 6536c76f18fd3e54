//! The bench: stand-in upstream, load generator and history checker. It is never shipped.

mod cli;
mod ready;
mod standin;

fn main() -> std::process::ExitCode {
    match cli::run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("[bench error]: {error:#}");
            std::process::ExitCode::FAILURE
        }
    }
}
