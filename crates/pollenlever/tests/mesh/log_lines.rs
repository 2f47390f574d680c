use std::sync::Mutex;

use log::{LevelFilter, Log, Metadata, Record};

/// Keeps the error lines that nodes of this test process log.
struct ErrorLines(Mutex<Vec<String>>);

static LINES: ErrorLines = ErrorLines(Mutex::new(Vec::new()));

impl Log for ErrorLines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Starts to keep error lines.
pub(crate) fn keep_error_lines() {
    // Another test may have set the logger already.
    if log::set_logger(&LINES).is_ok() {
        log::set_max_level(LevelFilter::Error);
    }
}

/// Error lines that contain `text`.
pub(crate) fn error_lines_with(text: &str) -> Vec<String> {
    let lines = LINES.0.lock().unwrap();
    lines.iter().filter(|it| it.contains(text)).cloned().collect()
}
