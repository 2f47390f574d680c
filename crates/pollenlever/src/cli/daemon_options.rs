use std::path::PathBuf;
use std::process;

use super::daemon_flags::Pollenleverd;

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: i32 = 2;

/// Options of `pollenleverd`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DaemonOptions {
    /// The settings file.
    pub settings: PathBuf,
    /// Check the settings and exit.
    pub check: bool,
}

impl DaemonOptions {
    /// Reads the command line. Prints and exits for `--help`, `--version` and wrong options.
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
