use std::time::Duration;

use crate::Timestamp;
use crate::config::Importance;

/// Rate limit of probes: allows one request of each importance per interval although all gates
/// report that they shed it. Its reply tells whether they still do.
#[derive(Debug, Default)]
pub(super) struct ProbeTimer {
    last_probes: [Option<Timestamp>; Importance::ALL.len()],
}

impl ProbeTimer {
    pub(super) fn try_probe(
        &mut self,
        now: Timestamp,
        importance: Importance,
        interval: Duration,
    ) -> bool {
        let last_probe = &mut self.last_probes[importance as usize];
        let is_due = last_probe.is_none_or(|it| now.saturating_sub(it) >= interval);
        if is_due {
            *last_probe = Some(now);
        }
        is_due
    }
}
