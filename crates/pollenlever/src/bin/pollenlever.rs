//! The command-line tool for operators.

use std::process;

use pollenlever::cli::ToolOptions;
use pollenlever::tool::run;

fn main() {
    process::exit(run(&ToolOptions::from_env_or_exit()) as i32);
}
