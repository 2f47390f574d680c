use std::fmt;

use super::Expected;

/// One thing that is wrong in an INI file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line, counted from 1.
    pub line: usize,
    /// Section and key, or section alone, such as `[node] region`.
    pub place: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: Expected,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault { line, place, found, allowed } = self;
        write!(f, "{line}: {place}: found {found}; allowed: {allowed}")
    }
}
