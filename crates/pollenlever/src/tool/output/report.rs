use crate::tool::Exit;

/// Result of a command.
pub trait Report {
    /// Renders the result as text, for people.
    fn table(&self) -> String;

    /// Renders the result as one JSON value, for programs.
    fn json(&self) -> String;

    /// Renders the result as a self-contained HTML page; `None` if the command has no such format.
    fn html(&self) -> Option<String> {
        None
    }

    /// Returns the exit code of the command.
    fn exit(&self) -> Exit {
        Exit::Done
    }
}

/// Any [`Report`].
pub type BoxReport = Box<dyn Report>;
