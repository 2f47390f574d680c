//! Starts a small deployment, sends requests through it and prints the results.

use std::process::ExitCode;

fn main() -> ExitCode {
    match pollenlever_standins::demo::run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("demo failed: {err}");
            ExitCode::from(2)
        }
    }
}
