use std::time::Duration;

use crate::Timestamp;
use crate::admission::{chain_fraction, is_chain_admitted};
use crate::config::Importance;
use crate::id::ChainId;

/// Completion ratio from which all new chains are admitted. Below it, the admitted share falls
/// with the square of the ratio, so that few of the admitted chains fail.
const FULL_ADMISSION_RATIO: f64 = 0.5;
/// Share from which all chains are admitted; averaged reports approach 1 only slowly.
const FULL_ADMITTED_SHARE: f64 = 0.99;
/// Shortest time between two chains that are admitted to learn whether calls succeed again.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The same time as a fraction of the time since when chains have been refused.
const PROBE_INTERVAL_DIVISOR: u32 = 4;
/// Shortest time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time after which a refused caller may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Refuses new chains whose calls would most likely fail further down, before they cost anything.
///
/// The share of chains that is admitted is the one that the services have room for, or less if the chains
/// are not expected to complete; which ones is decided by the chain's hash. While chains of an importance
/// are refused, one is admitted from time to time to learn whether the services further down have recovered.
#[derive(Debug, Default)]
pub struct ChainAdmission {
    classes: [ImportanceState; Importance::ALL.len()],
}

#[derive(Debug, Default)]
struct ImportanceState {
    /// Since when not all chains are admitted; `None` while all are.
    limited_since: Option<Timestamp>,
    last_admitted: Timestamp,
}

impl ChainAdmission {
    /// Decides about a new chain. Its runs complete with probability `completion_ratio`, and the services
    /// on its way have room for the share `room` of all chains of its importance. Returns the time after
    /// which the caller may retry if the chain is refused.
    ///
    /// Outages last the longer, the longer they have lasted, so a caller is asked to wait for as
    /// long as its importance has been refused.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::ChainAdmission;
    /// let chain = "127.0.0.1:7101@1f~2a".parse().unwrap();
    /// let mut admission = ChainAdmission::default();
    /// let mut refusal = |ms, ratio| {
    ///     let now = Duration::from_millis(ms);
    ///     admission.refusal(now, Importance::Normal, chain, ratio, 1.0)
    /// };
    /// assert!(refusal(5000, 0.9).is_none());
    /// assert!(refusal(5010, 0.01).unwrap() >= Duration::from_millis(250));
    /// assert!(refusal(6010, 0.01).is_none());
    /// ```
    pub fn refusal(
        &mut self,
        now: Timestamp,
        importance: Importance,
        chain: ChainId,
        completion_ratio: f64,
        room: f64,
    ) -> Option<Duration> {
        let state = &mut self.classes[importance as usize];
        let completing_share = (completion_ratio / FULL_ADMISSION_RATIO).powi(2).min(1.0);
        let admitted_share = room.min(completing_share);
        if admitted_share >= FULL_ADMITTED_SHARE {
            state.limited_since = None;
            state.last_admitted = now;
            return None;
        }
        let limited_for = now.saturating_sub(*state.limited_since.get_or_insert(now));
        let probe_interval = MIN_PROBE_INTERVAL.max(limited_for / PROBE_INTERVAL_DIVISOR);
        let is_probe = now.saturating_sub(state.last_admitted) >= probe_interval;
        if is_probe || is_chain_admitted(chain, admitted_share) {
            state.last_admitted = now;
            return None;
        }
        let wait = limited_for.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Some(wait.mul_f64(0.5 + chain_fraction(chain)))
    }
}
