use std::fmt;

/// What happened in one step of the demonstration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// What the step does.
    pub name: &'static str,
    /// Requests sent.
    pub sent: usize,
    /// Whole answers that came.
    pub whole: usize,
    /// What went wrong, shortened.
    pub faults: Vec<String>,
}

impl Step {
    /// A step without requests.
    pub fn new(name: &'static str) -> Step {
        Step { name, ..Step::default() }
    }

    /// Counts a request and what is wrong with its answer, if anything.
    pub fn count(&mut self, result: Result<(), String>) {
        self.sent += 1;
        match result {
            Ok(()) => self.whole += 1,
            Err(fault) => self.faults.push(fault),
        }
    }

    /// Whether every request got its whole answer.
    pub fn is_whole(&self) -> bool {
        self.sent > 0 && self.whole == self.sent
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = if self.is_whole() { "ok" } else { "FAILED" };
        write!(f, "{:<44}{:>6}{:>8}  {result}", self.name, self.sent, self.whole)?;
        for fault in self.faults.iter().take(3) {
            write!(f, "\n    {fault}")?;
        }
        Ok(())
    }
}
