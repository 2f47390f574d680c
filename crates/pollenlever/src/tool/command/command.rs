use crate::tool::ToolError;
use crate::tool::output::BoxReport;

/// A command of the operator tool.
pub trait Command {
    /// Runs the command to its end.
    ///
    /// # Errors
    ///
    /// [`ToolError`] if there is no result to show.
    fn run(&self) -> Result<BoxReport, ToolError>;
}

/// Command of whichever kind.
pub type BoxCommand = Box<dyn Command>;
