use std::fmt;

/// Result of a measurement, displayed as its closing line: the figures, and whether they meet the
/// limits of the measurement.
///
/// ```
/// use pollenlever_standins::measure::Verdict;
/// let verdict = Verdict::new(true).figure("goodput", "0.95").figure("naive", "0.31");
/// assert_eq!(verdict.to_string(), "goodput=0.95 naive=0.31 verdict=held");
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Verdict {
    held: bool,
    figures: Vec<(&'static str, String)>,
}

impl Verdict {
    /// Creates a verdict without figures.
    pub fn new(held: bool) -> Verdict {
        Verdict { held, figures: Vec::new() }
    }

    /// Appends a figure, displayed as `name=value`.
    pub fn figure(mut self, name: &'static str, value: impl fmt::Display) -> Verdict {
        self.figures.push((name, value.to_string()));
        self
    }

    /// Whether all limits of the measurement were met.
    pub fn is_held(&self) -> bool {
        self.held
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, value) in &self.figures {
            write!(f, "{name}={value} ")?;
        }
        write!(f, "verdict={}", if self.held { "held" } else { "missed" })
    }
}
