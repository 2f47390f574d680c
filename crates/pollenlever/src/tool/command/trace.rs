use std::path::PathBuf;

use super::Command;
use crate::tool::output::{BoxReport, Report, Table, to_json};
use crate::tool::trace::RequestTrace;
use crate::tool::{Exit, ToolError};

/// The command `pollenlever trace`, which collects the log lines about one request.
pub(super) struct Trace {
    pub(super) request: String,
    pub(super) files: Vec<PathBuf>,
}

impl Command for Trace {
    fn run(&self) -> Result<BoxReport, ToolError> {
        let mut files = Vec::new();
        for path in &self.files {
            let bytes = std::fs::read(path)
                .map_err(|source| ToolError::Log { path: path.clone(), source })?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            files.push((name, String::from_utf8_lossy(&bytes).into_owned()));
        }
        let files: Vec<(&str, String)> =
            files.iter().map(|(name, text)| (name.as_str(), text.clone())).collect();
        Ok(Box::new(RequestTrace::collect(&self.request, &files)))
    }
}

impl Report for RequestTrace {
    fn table(&self) -> String {
        let mut table = Table::new(["time", "log", "line"]);
        for line in &self.lines {
            table.add_row([line.time.clone(), line.file.clone(), line.text.clone()]);
        }
        let mut text = match self.lines.is_empty() {
            true => {
                "no line is about the request; of ordinary requests only a sample is logged".into()
            }
            false => table.to_string(),
        };
        for gate in &self.missing {
            text.push_str(&format!("\nthe log of the node {gate} is not among the files"));
        }
        text
    }

    fn json(&self) -> String {
        to_json(self)
    }

    fn exit(&self) -> Exit {
        let is_complete = !self.lines.is_empty() && self.missing.is_empty();
        if is_complete { Exit::Done } else { Exit::Incomplete }
    }
}
