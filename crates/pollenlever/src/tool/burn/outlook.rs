use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::tool::output::duration_text;

/// Where the error budget of a kind of request is heading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Outlook {
    /// The budget is used up.
    Breached,
    /// At the present pace the budget is used up before its window ends.
    Breaching {
        /// Seconds until then.
        in_s: u64,
    },
    /// Nodes or regions are missing, so nothing good can be said.
    Incomplete,
    /// The budget lasts.
    Holding,
    /// No node knows the objective.
    NoObjective,
    /// No node has seen a call.
    NoCalls,
}

impl Outlook {
    /// Order in which kinds of request are listed, the most urgent first.
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

    /// Whether the budget is used up or will be.
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
