use std::fmt;

use super::{Expected, Fault};

/// All faults of one INI file, in order of lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    file: String,
    list: Vec<Fault>,
}

impl Faults {
    /// Starts an empty list for `file`.
    pub fn new(file: &str) -> Faults {
        Faults { file: file.to_owned(), list: Vec::new() }
    }

    /// Adds a fault.
    ///
    /// ```
    /// use pollenlever::settings::ini::Faults;
    /// let mut faults = Faults::new("node.ini");
    /// faults.push(4, "[log] level", "\"loud\"", "error, warn, info");
    /// let text = "1 fault in node.ini:\n  \
    ///     node.ini:4: [log] level: found \"loud\"; allowed: error, warn, info";
    /// assert_eq!(faults.to_string(), text);
    /// ```
    pub fn push(
        &mut self,
        line: usize,
        place: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<Expected>,
    ) {
        let (place, found, allowed) = (place.into(), found.into(), allowed.into());
        self.list.push(Fault { line, place, found, allowed });
    }

    /// The faults found so far.
    pub fn list(&self) -> &[Fault] {
        &self.list
    }

    /// Gives `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// The list itself, sorted by line, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Faults> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|it| it.line);
        Err(self)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let plural = if self.list.len() == 1 { "" } else { "s" };
        write!(f, "{} fault{plural} in {}:", self.list.len(), self.file)?;
        for fault in &self.list {
            write!(f, "\n  {}:{fault}", self.file)?;
        }
        Ok(())
    }
}
