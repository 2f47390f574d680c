//! The daemon: runs the node beside a target (the back end process that it protects).

use std::process::ExitCode;

use pollenlever::cli::DaemonOptions;
use pollenlever::node::{Node, wait_for_signal};
use pollenlever::settings::Settings;
use pollenlever::telemetry::init_logging;

/// Exit code if the settings cannot be read or are invalid.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = DaemonOptions::from_env_or_exit();
    let cfg = match Settings::load(&options.settings) {
        Ok(cfg) => cfg,
        Err(err) => {
            eprintln!("{err}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    init_logging(&cfg.log_level);
    let node = match Node::start(&cfg) {
        Ok(node) => node,
        Err(err) => {
            log::error!("node cannot start reason={:?}", err.to_string());
            return ExitCode::FAILURE;
        }
    };
    match wait_for_signal(&node) {
        Ok(()) if node.leave() => ExitCode::SUCCESS,
        Ok(()) => ExitCode::FAILURE,
        Err(err) => {
            log::error!("node failed reason={:?}", err.to_string());
            ExitCode::FAILURE
        }
    }
}
