use std::io::{self, Write};

use super::command::build_command;
use super::{Exit, OutputFormat, ToolError};
use crate::cli::ToolOptions;

/// Runs the command that `options` select, prints its result and returns the exit code.
///
/// ```
/// use pollenlever::cli::ToolOptions;
/// use pollenlever::tool::{Exit, run};
/// let without_node = ToolOptions::default();
/// assert_eq!(run(&without_node), Exit::Usage);
/// ```
pub fn run(options: &ToolOptions) -> Exit {
    match render(options) {
        Ok((text, exit)) => {
            // The reader may close the pipe before it has read all output; this is no error.
            let _ = writeln!(io::stdout().lock(), "{}", text.trim_end());
            exit
        }
        Err(err) => {
            eprintln!("{err}");
            err.exit()
        }
    }
}

fn render(options: &ToolOptions) -> Result<(String, Exit), ToolError> {
    let report = build_command(options)?.run()?;
    let text = match options.format {
        OutputFormat::Table => report.table(),
        OutputFormat::Json => report.json(),
        OutputFormat::Html => report.html().ok_or(ToolError::NoHtml)?,
    };
    Ok((text, report.exit()))
}
