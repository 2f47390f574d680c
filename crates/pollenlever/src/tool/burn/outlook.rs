use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::tool::output::duration_text;

/// Whether the error budget of a request kind is used up or likely to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Outlook {
    /// The budget is used up.
    Breached,
    /// At the present burn rate the budget will be used up before the window of the objective ends.
    Breaching {
        /// Seconds until the budget is used up.
        in_s: u64,
    },
    /// Nodes or regions did not answer, so a breach cannot be ruled out.
    Incomplete,
    /// The budget will last.
    Holding,
    /// Neither a node nor the manifest gives the objective.
    NoObjective,
    /// No calls were counted from which a burn rate could be computed.
    NoCalls,
}

impl Outlook {
    /// Returns a sort key that puts the most urgent outlook first.
    pub fn urgency(self) -> (u8, u64) {
        match self {
            Outlook::Breached => (0, 0),
            Outlook::Breaching { in_s } => (1, in_s),
            Outlook::Incomplete => (2, 0),
            Outlook::NoObjective => (3, 0),
            Outlook::Holding => (4, 0),
            Outlook::NoCalls => (5, 0),
        }
    }

    /// Returns whether the budget is used up or predicted to be.
    pub fn is_breach(self) -> bool {
        matches!(self, Outlook::Breached | Outlook::Breaching { .. })
    }
}

impl fmt::Display for Outlook {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outlook::Breached => f.write_str("breached"),
            Outlook::Breaching { in_s } => {
                write!(f, "breach in {}", duration_text(Duration::from_secs(*in_s)))
            }
            Outlook::Incomplete => f.write_str("unknown, nodes missing"),
            Outlook::Holding => f.write_str("holding"),
            Outlook::NoObjective => f.write_str("no objective known"),
            Outlook::NoCalls => f.write_str("no calls seen"),
        }
    }
}
