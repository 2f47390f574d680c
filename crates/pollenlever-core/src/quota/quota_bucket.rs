use std::collections::VecDeque;
use std::time::Duration;

use super::{
    GRANT_LIFETIME, GrantId, QuotaSettings, ReturnedTokens, ShareUnits, TOTAL_UNITS, TokenGrant,
    TokenRequest,
};
use crate::Timestamp;
use crate::id::WorkspaceName;
use crate::workspace::QuotaLimit;

/// Part of a token that may be missing because of rounding.
const ROUNDING: f64 = 1e-6;

/// Time after the last moment for which a node was sent back in which a node that takes the last
/// token is sent back too. Otherwise it would ask once more at once, and in vain.
const CONTENTION_TIME: Duration = Duration::from_millis(100);

/// Token bucket of one workspace at its home.
#[derive(Debug)]
pub(super) struct QuotaBucket {
    pub(super) workspace: WorkspaceName,
    limit: QuotaLimit,
    pub(super) tokens: f64,
    updated: Timestamp,
    /// Grants whose tokens may still be used, oldest first.
    recent: VecDeque<RecentGrant>,
    /// Tokens of these grants that were not returned, used or not.
    recent_tokens: f64,
    /// Last moment for which a node was sent back.
    last_retry_at: Timestamp,
    pub(super) granted: u64,
    pub(super) refused: u64,
}

#[derive(Debug)]
struct RecentGrant {
    id: GrantId,
    granted_at: Timestamp,
    tokens: u32,
    is_returned: bool,
}

impl QuotaBucket {
    pub(super) fn new(now: Timestamp, workspace: WorkspaceName, limit: QuotaLimit) -> QuotaBucket {
        QuotaBucket {
            workspace,
            limit,
            tokens: 0.0,
            updated: now,
            recent: VecDeque::new(),
            recent_tokens: 0.0,
            last_retry_at: Timestamp::ZERO,
            granted: 0,
            refused: 0,
        }
    }

    /// Adds what the bucket has gained with `units` until `now`.
    pub(super) fn refill(&mut self, now: Timestamp, units: ShareUnits) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed * self.rate(units)).min(self.capacity(units));
    }

    /// Drops what the bucket may not hold with `units`.
    pub(super) fn limit_to(&mut self, units: ShareUnits) {
        self.tokens = self.tokens.min(self.capacity(units));
    }

    pub(super) fn set_limit(&mut self, limit: QuotaLimit, units: ShareUnits) {
        self.limit = limit;
        self.limit_to(units);
    }

    /// Adds returned tokens, as far as they and all tokens that may still be used fit into the
    /// bucket. Otherwise tokens could be returned and granted again without end, and add up
    /// outside the bucket. A repeated or late return is ignored.
    pub(super) fn take_back(
        &mut self,
        now: Timestamp,
        units: ShareUnits,
        returned: ReturnedTokens,
    ) {
        self.forget_expired(now);
        let Ok(at) = self.recent.binary_search_by_key(&returned.grant.number, |it| it.id.number)
        else {
            return;
        };
        let grant = &mut self.recent[at];
        if grant.is_returned || grant.id != returned.grant {
            return;
        }
        grant.is_returned = true;
        let tokens = returned.tokens.min(grant.tokens);
        grant.tokens -= tokens;
        self.recent_tokens -= f64::from(tokens);
        let room = self.capacity(units) - self.tokens - self.recent_tokens;
        self.tokens += f64::from(tokens).min(room.max(0.0));
    }

    /// Grants what the bucket has, refilled until now.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        id: GrantId,
        units: ShareUnits,
        req: &TokenRequest,
        settings: &QuotaSettings,
    ) -> TokenGrant {
        let available = (self.tokens + ROUNDING).max(0.0) as u32;
        let wanted = req.wanted.min(available);
        let is_contended = now < self.last_retry_at + CONTENTION_TIME;
        // Without contention, half of the rest stays for other nodes; with it, each has its moment.
        let rest = if is_contended { available - wanted } else { (available - wanted) / 2 };
        let tokens = wanted + req.prefetch.min(rest);
        self.tokens -= f64::from(tokens);
        self.record_grant(now, id, tokens);
        self.granted += u64::from(tokens);
        self.refused += u64::from(req.wanted - wanted);
        let is_short = wanted < req.wanted;
        let is_unavailable = is_short && !is_majority(units);
        let retry_after = if is_unavailable {
            settings.unavailable_pause
        } else if is_short || is_contended && wanted > 0 && self.tokens < 1.0 - ROUNDING {
            self.next_retry_at(now, units, settings)
        } else {
            Duration::ZERO
        };
        TokenGrant {
            number: req.number,
            id,
            workspace: self.workspace.clone(),
            tokens,
            retry_after,
            refill: self.refill_time(units, settings),
            is_unavailable,
        }
    }

    /// Time until the moment at which the next node may come back. Each node that is sent back gets a
    /// moment of its own, at which tokens for it have been gained.
    fn next_retry_at(
        &mut self,
        now: Timestamp,
        units: ShareUnits,
        cfg: &QuotaSettings,
    ) -> Duration {
        let rate = self.rate(units);
        // Tokens gained between two slots must fit into the bucket.
        let time_to_half = self.capacity(units) / 2.0 / rate;
        let spacing = cfg.min_retry_spacing.as_secs_f64().min(time_to_half).max(1.0 / rate);
        let next = ((1.0 - self.tokens).max(0.0) / rate).max(spacing.min(time_to_half));
        let max = cfg.max_retry_after.as_secs_f64();
        let after_last = self.last_retry_at + Duration::from_secs_f64(spacing.min(max));
        let slot = after_last.max(now + Duration::from_secs_f64(next.min(max)));
        self.last_retry_at = slot.min(now + cfg.max_retry_after);
        self.last_retry_at - now
    }

    fn record_grant(&mut self, now: Timestamp, id: GrantId, tokens: u32) {
        self.forget_expired(now);
        if tokens > 0 {
            self.recent.push_back(RecentGrant { id, granted_at: now, tokens, is_returned: false });
            self.recent_tokens += f64::from(tokens);
        }
    }

    fn forget_expired(&mut self, now: Timestamp) {
        while self.recent.front().is_some_and(|it| it.granted_at + GRANT_LIFETIME <= now) {
            let expired = self.recent.pop_front().map_or(0, |it| it.tokens);
            self.recent_tokens -= f64::from(expired);
        }
    }

    fn refill_time(&self, units: ShareUnits, settings: &QuotaSettings) -> Duration {
        let max = settings.max_retry_after.as_secs_f64();
        Duration::from_secs_f64((1.0 / self.rate(units)).min(max))
    }

    fn rate(&self, units: ShareUnits) -> f64 {
        self.limit.rate_per_s * fraction(units)
    }

    /// Tokens that the bucket may hold. With the majority of the units it is at least one, or a
    /// workspace with a low burst would never get a token; no other home has the majority then.
    fn capacity(&self, units: ShareUnits) -> f64 {
        let least = if is_majority(units) { 1.0 } else { 0.0 };
        (self.limit.burst * fraction(units)).max(least)
    }
}

fn is_majority(units: ShareUnits) -> bool {
    units > TOTAL_UNITS / 2
}

fn fraction(units: ShareUnits) -> f64 {
    f64::from(units) / f64::from(TOTAL_UNITS)
}
