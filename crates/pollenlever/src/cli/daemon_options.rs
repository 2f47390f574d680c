use std::path::PathBuf;
use std::process;

use super::daemon_flags::Pollenleverd;

/// Exit code for an invalid command line.
const EXIT_USAGE: i32 = 2;

/// Options of `pollenleverd`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DaemonOptions {
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit without starting the node.
    pub check: bool,
}

impl DaemonOptions {
    /// Parses the command line. For `--help`, `--version` and invalid options, prints and exits.
    pub fn from_env_or_exit() -> DaemonOptions {
        let flags = Pollenleverd::from_env_or_exit();
        if flags.version {
            println!("pollenleverd {}", env!("CARGO_PKG_VERSION"));
            process::exit(0);
        }
        let Some(settings) = flags.settings else {
            eprintln!("no settings given; start with `pollenleverd --settings FILE`, see --help");
            process::exit(EXIT_USAGE);
        };
        DaemonOptions { settings, check: flags.check }
    }
}
