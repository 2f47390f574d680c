use std::time::Duration;

use crate::Timestamp;
use crate::config::Importance;

/// Lets one request of each importance through per interval.
#[derive(Debug, Default)]
pub(super) struct ProbeTimer {
    last: [Option<Timestamp>; Importance::ALL.len()],
}

impl ProbeTimer {
    pub(super) fn try_probe(
        &mut self,
        now: Timestamp,
        importance: Importance,
        interval: Duration,
    ) -> bool {
        let last = &mut self.last[importance as usize];
        let due = last.is_none_or(|it| now.saturating_sub(it) >= interval);
        if due {
            *last = Some(now);
        }
        due
    }
}
