use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, PoisonError};

/// One line of a run log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// `start` or `end`; a run without `end` failed, crashed or still runs.
    pub phase: String,
    /// Value of the request's `pollenlever-call` header, which identifies the attempt (one sending
    /// of a request to a target); `-` if it is missing.
    pub attempt: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
}

/// Log of the runs of one target, in a file that survives crashes of the process.
#[derive(Debug, Default)]
pub struct RunLog {
    file: Option<Mutex<File>>,
}

impl RunLog {
    /// Opens the log for appending; without a path nothing is logged.
    ///
    /// # Errors
    ///
    /// Any error of opening the file.
    pub fn open(path: Option<&Path>) -> io::Result<RunLog> {
        let Some(path) = path else { return Ok(RunLog::default()) };
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(RunLog { file: Some(Mutex::new(file)) })
    }

    /// Appends a line; a write error is only logged.
    pub fn append(&self, phase: &str, attempt: &str, method: &str, path: &str) {
        let Some(file) = &self.file else { return };
        let line = format!("{phase} {attempt} {method} {path}\n");
        let mut f = file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(err) = f.write_all(line.as_bytes()) {
            log::error!("cannot write to the run log: {err}");
        }
    }

    /// Reads all lines of a log; a missing file is an empty log.
    ///
    /// # Errors
    ///
    /// Any error of reading the file.
    pub fn read(path: &Path) -> io::Result<Vec<RunRecord>> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            Err(err) => return Err(err),
        };
        Ok(text.lines().filter_map(parse_record).collect())
    }
}

fn parse_record(line: &str) -> Option<RunRecord> {
    let mut fields = line.splitn(4, ' ').map(str::to_owned);
    let (phase, attempt) = (fields.next()?, fields.next()?);
    Some(RunRecord { phase, attempt, method: fields.next()?, path: fields.next()? })
}
