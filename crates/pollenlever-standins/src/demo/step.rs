use std::fmt;

/// Results of one step of the demonstration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Step {
    /// What the step does.
    pub name: &'static str,
    /// Requests sent.
    pub sent: usize,
    /// Complete answers that were received.
    pub complete: usize,
    /// Why the other requests failed; the first three are printed.
    pub errors: Vec<String>,
}

impl Step {
    /// A step without requests.
    pub fn new(name: &'static str) -> Step {
        Step { name, ..Step::default() }
    }

    /// Records a request, with the reason if it failed.
    pub fn record(&mut self, result: Result<(), String>) {
        self.sent += 1;
        match result {
            Ok(()) => self.complete += 1,
            Err(error) => self.errors.push(error),
        }
    }

    /// Whether at least one request was sent and each got its complete answer.
    pub fn is_complete(&self) -> bool {
        self.sent > 0 && self.complete == self.sent
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = if self.is_complete() { "ok" } else { "FAILED" };
        write!(f, "{:<44}{:>6}{:>8}  {result}", self.name, self.sent, self.complete)?;
        for error in self.errors.iter().take(3) {
            write!(f, "\n    {error}")?;
        }
        Ok(())
    }
}
