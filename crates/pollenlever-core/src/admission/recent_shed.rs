use std::time::Duration;

use super::AdmissionSettings;
use super::chain_hash::chain_fraction;
use super::decaying_sum::DecayingSum;
use crate::Timestamp;
use crate::id::ChainId;

/// Decaying count of shed requests, whose callers are expected to retry after the given delay.
#[derive(Debug, Default)]
pub(super) struct RecentShed {
    count: DecayingSum,
}

impl RecentShed {
    pub(super) fn record_shed(&mut self, now: Timestamp, settings: &AdmissionSettings) {
        self.count.add(now, settings.decay_time, 1.0);
    }

    /// Delay after which the caller of a shed request may retry: the time to run all waiting and
    /// recently shed requests, at one per `completion_interval`. The chain's hash spreads retries.
    pub(super) fn retry_after(
        &self,
        now: Timestamp,
        settings: &AdmissionSettings,
        queued: usize,
        completion_interval: Duration,
        chain: ChainId,
    ) -> Duration {
        let expected_requests = queued as f64 + self.count.get(now, settings.decay_time);
        let spread = completion_interval.mul_f64(expected_requests * (0.5 + chain_fraction(chain)));
        (settings.min_retry_after.mul_f64(1.0 + chain_fraction(chain)) + spread)
            .min(settings.max_retry_after)
    }
}
