use std::fmt;

use super::Expected;

/// One error in an INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line number, counted from 1.
    pub line: usize,
    /// Section and key, such as `[node] region`, or the section alone.
    pub location: String,
    /// What the file contains there, quoted if it is a value.
    pub found: String,
    /// What is allowed there.
    pub allowed: Expected,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { line, location, found, allowed } = self;
        write!(f, "{line}: {location}: found {found}; allowed: {allowed}")
    }
}
