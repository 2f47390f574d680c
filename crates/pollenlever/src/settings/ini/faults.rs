use std::fmt;

use super::{Expected, Fault};

/// All faults of one INI file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults {
    file: String,
    list: Vec<Fault>,
}

impl Faults {
    /// Creates an empty list; `file` is the name that is printed with each fault.
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
        location: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<Expected>,
    ) {
        let (location, found, allowed) = (location.into(), found.into(), allowed.into());
        self.list.push(Fault { line, location, found, allowed });
    }

    /// The faults found so far, in the order of [`Faults::push`].
    pub fn list(&self) -> &[Fault] {
        &self.list
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// The list, sorted by line, if there are any faults.
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
