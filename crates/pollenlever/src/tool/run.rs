use std::io::{self, Write};

use super::command::command_of;
use super::{Exit, Format, ToolError};
use crate::cli::ToolOptions;

/// Runs the command of `options` and prints its result.
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
            // A reader that closes the pipe early wants no more output.
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
    let report = command_of(options)?.run()?;
    let text = match options.format {
        Format::Table => report.table(),
        Format::Json => report.json(),
        Format::Html => report.html().ok_or(ToolError::NoHtml)?,
    };
    Ok((text, report.exit()))
}
