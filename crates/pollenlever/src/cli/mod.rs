//! Command lines of both programs: all options, each turned once into an options struct.

mod daemon_flags;
mod daemon_options;

pub use daemon_options::DaemonOptions;
