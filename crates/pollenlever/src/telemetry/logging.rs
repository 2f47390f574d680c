use std::io::Write;
use std::str::FromStr;

use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

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

/// Lines that may wait to be written.
const MAX_WAITING_LINES: usize = 4096;

/// Starts logging to standard output from a thread of its own. A line is dropped if too many wait,
/// so that a reader that does not read slows no request.
pub fn init_stdout_logging(level: &str) {
    let level = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("pollenlever")
        .build();
    let (tx, rx) = crossbeam_channel::bounded(MAX_WAITING_LINES);
    let spawned =
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx));
    if let Err(err) = spawned {
        eprintln!("cannot start thread log: {err}");
    }
    let _ = WriteLogger::init(level, cfg, LineQueue { tx, line: Vec::new(), dropped: 0 });
}

fn write_lines(lines: &crossbeam_channel::Receiver<Vec<u8>>) {
    let mut out = std::io::stdout().lock();
    while let Ok(line) = lines.recv() {
        // A closed standard output leaves nobody to tell.
        let _ = out.write_all(&line).and_then(|()| out.flush());
    }
}

/// Collects what a logger writes into lines and queues them.
struct LineQueue {
    tx: crossbeam_channel::Sender<Vec<u8>>,
    line: Vec<u8>,
    dropped: u64,
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            if self.dropped > 0 {
                self.line.truncate(self.line.len() - 1);
                self.line.extend_from_slice(format!(" dropped={}\n", self.dropped).as_bytes());
            }
            match self.tx.try_send(std::mem::take(&mut self.line)) {
                Ok(()) => self.dropped = 0,
                Err(_) => self.dropped += 1,
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
