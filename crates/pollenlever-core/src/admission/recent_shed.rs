use std::time::Duration;

use super::AdmissionSettings;
use super::chain_hash::chain_share;
use super::decayed::Decayed;
use crate::Timestamp;
use crate::id::ChainId;

/// Requests shed lately, which come back when told to.
#[derive(Debug, Default)]
pub(super) struct RecentShed {
    count: Decayed,
}

impl RecentShed {
    pub(super) fn add(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        self.count.add(now, settings.memory, 1.0);
    }

    /// Time after which a shed caller may come back: what waits and what was shed lately, at the
    /// pace at which the gate works, spread by the chain's hash.
    pub(super) fn retry_after(
        &self,
        now: Timestamp,
        settings: &AdmissionSettings,
        queued: usize,
        pace: Duration,
        chain: ChainId,
    ) -> Duration {
        let backlog = queued as f64 + self.count.get(now, settings.memory);
        let spread = pace.mul_f64(backlog * (0.5 + chain_share(chain)));
        (settings.min_retry_after.mul_f64(1.0 + chain_share(chain)) + spread)
            .min(settings.max_retry_after)
    }
}
