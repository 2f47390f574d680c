use std::collections::BTreeMap;

use super::{Reason, Verdict};

/// Counts of ended calls by verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VerdictCounts {
    /// Good calls.
    pub good: u64,
    /// Calls that failed because of an error of the caller; they count neither for nor against the
    /// objective.
    pub invalid: u64,
    bad: [u64; Reason::COUNT],
}

impl VerdictCounts {
    /// Records one call.
    pub fn record_call(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Good => self.good += 1,
            Verdict::Invalid(_) => self.invalid += 1,
            Verdict::Bad(reason) => self.bad[reason.index()] += 1,
        }
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &VerdictCounts) {
        self.good += other.good;
        self.invalid += other.invalid;
        for (count, more) in self.bad.iter_mut().zip(other.bad) {
            *count += more;
        }
    }

    /// Returns the bad calls by name of the reason; reasons without calls are left out.
    pub fn bad_by_reason(&self) -> BTreeMap<String, u64> {
        let counts = Reason::all().map(|it| (it.as_str().to_owned(), self.bad[it.index()]));
        counts.filter(|(_, count)| *count > 0).collect()
    }
}

impl Default for VerdictCounts {
    fn default() -> VerdictCounts {
        VerdictCounts { good: 0, invalid: 0, bad: [0; Reason::COUNT] }
    }
}
