use std::io::Write;
use std::str::FromStr;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use log::LevelFilter;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode, WriteLogger};

/// Installs a logger that writes to standard error. Messages contain their fields as `key=value`,
/// such as `info!("config in force service=balance version=3")`. An unknown `level` means `info`.
///
/// Only the first call has an effect, so tests can call it any number of times.
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

/// Capacity of the queue between the logger and the writing thread.
const MAX_QUEUED_LINES: usize = 4096;

/// Gives access to the thread that writes log lines.
#[derive(Debug, Clone)]
pub struct LogWriter {
    tx: Sender<LogItem>,
}

/// Entry of the queue between the logger and the writing thread.
#[derive(Debug)]
enum LogItem {
    /// A line to write.
    Line(Vec<u8>),
    /// Confirm that all lines before this entry are written.
    Flush(Sender<()>),
}

impl LogWriter {
    /// Waits until the lines logged so far are written, at most for `timeout`. A process calls this
    /// before it exits, as its last lines would be lost otherwise.
    pub fn flush(&self, timeout: Duration) {
        let (tx, written) = crossbeam_channel::bounded(1);
        // Without a confirmation in time the output is stuck, and there is nowhere to report it.
        if self.tx.send_timeout(LogItem::Flush(tx), timeout).is_ok() {
            let _ = written.recv_timeout(timeout);
        }
    }
}

/// Installs a logger that writes to standard output on a separate thread. When the queue is full,
/// lines are dropped, so that a slow reader of the output does not delay requests.
pub fn init_stdout_logging(level: &str) -> LogWriter {
    let level = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .add_filter_allow_str("pollenlever")
        .build();
    let (tx, rx) = crossbeam_channel::bounded(MAX_QUEUED_LINES);
    let spawned =
        std::thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx));
    if let Err(err) = spawned {
        eprintln!("cannot start thread log: {err}");
    }
    let queue = LineQueue { tx: tx.clone(), line: Vec::new(), dropped: 0 };
    let _ = WriteLogger::init(level, cfg, queue);
    LogWriter { tx }
}

fn write_lines(items: &Receiver<LogItem>) {
    let mut out = std::io::stdout().lock();
    while let Ok(item) = items.recv() {
        match item {
            // If standard output is closed, the error cannot be reported anywhere.
            LogItem::Line(line) => drop(out.write_all(&line).and_then(|()| out.flush())),
            // The receiver may have stopped waiting.
            LogItem::Flush(written) => drop(written.try_send(())),
        }
    }
}

/// Collects the output of a logger into lines and queues them for the writing thread.
struct LineQueue {
    tx: Sender<LogItem>,
    line: Vec<u8>,
    /// Lines dropped since the last queued line; reported on the next line.
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
            match self.tx.try_send(LogItem::Line(std::mem::take(&mut self.line))) {
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
