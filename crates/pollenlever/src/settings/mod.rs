//! Settings of the daemon, in INI.

mod settings;

pub use settings::{PolicyName, Settings};
