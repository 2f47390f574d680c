use crate::tool::ToolError;
use crate::tool::output::BoxReport;

/// A command of the operator tool.
pub trait Command {
    /// Runs the command until its result is complete.
    ///
    /// # Errors
    ///
    /// [`ToolError`] if the command fails without a result.
    fn run(&self) -> Result<BoxReport, ToolError>;
}

/// Any [`Command`].
pub type BoxCommand = Box<dyn Command>;
