use std::str::FromStr;

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging to standard error. Messages carry their fields as `key=value`, such as
/// `info!("config in force service=balance version=3")`.
///
/// A second call changes nothing, so that tests may call it freely.
///
/// ```
/// pollenlever::telemetry::init_logging("warn");
/// log::warn!("store call failed reason={:?}", "timed out");
/// ```
pub fn init_logging(level: &str) {
    let level = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .set_location_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("pollenlever")
        .build();
    let _ = TermLogger::init(level, cfg, TerminalMode::Stderr, ColorChoice::Never);
}
