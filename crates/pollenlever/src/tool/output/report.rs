use crate::tool::Exit;

/// Result of a command.
pub trait Report {
    /// Columns for people.
    fn table(&self) -> String;

    /// One JSON value for programs.
    fn json(&self) -> String;

    /// A page that needs no other file, if the result has one.
    fn html(&self) -> Option<String> {
        None
    }

    /// Exit code of the command.
    fn exit(&self) -> Exit {
        Exit::Done
    }
}

/// Result of whichever command.
pub type BoxReport = Box<dyn Report>;
