use std::collections::VecDeque;
use std::time::Duration;

use super::usage::Usage;
use super::{
    GRANT_LIFETIME, GrantId, QuotaSettings, ReturnedTokens, TakeResult, TokenGrant, TokenPermit,
};
use crate::Timestamp;
use crate::answer::ErrorKind;
use crate::id::WorkspaceName;

/// Use of a workspace on this node, in requests per second, below which nothing is prefetched.
const MIN_PREFETCH_RATE: f64 = 4.0;
/// Highest number of refused requests that count for the time to come back.
const MAX_REFUSED: u32 = 1 << 16;
/// Number of different times at which callers come back while the home is unavailable.
const RETRY_STEPS: u32 = 16;

/// Tokens of one workspace on this node.
#[derive(Debug, Default)]
pub(super) struct WorkspaceTokens {
    /// In the order of their expiry.
    batches: VecDeque<Batch>,
    in_flight: Option<InFlight>,
    refusal: Option<Refusal>,
    usage: Usage,
    pub(super) last_used: Timestamp,
}

/// Tokens of one grant.
#[derive(Debug)]
struct Batch {
    grant: GrantId,
    expires: Timestamp,
    tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct InFlight {
    number: u64,
    sent: Timestamp,
}

/// Refusal without asking, until the home may have a token.
#[derive(Debug)]
struct Refusal {
    until: Timestamp,
    error: ErrorKind,
    /// Requests refused since; each is sent back for a token of its own.
    refused: u32,
    refill: Duration,
}

impl WorkspaceTokens {
    /// Takes the token that expires first.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        workspace: &WorkspaceName,
    ) -> Option<TokenPermit> {
        self.last_used = now;
        self.drop_expired(now);
        let batch = self.batches.front_mut()?;
        let permit = TokenPermit {
            workspace: workspace.clone(),
            grant: batch.grant,
            expires: batch.expires,
        };
        batch.tokens -= 1;
        if batch.tokens == 0 {
            self.batches.pop_front();
        }
        self.usage.record(now);
        Some(permit)
    }

    /// What to do with a request without a token.
    pub(super) fn refuse(&mut self, now: Timestamp, settings: &QuotaSettings) -> TakeResult {
        let Some(refusal) = self.refusal.as_mut().filter(|it| now < it.until) else {
            return TakeResult::Ask;
        };
        let error = refusal.error;
        let retry_after = match error {
            ErrorKind::QuotaUnavailable => {
                let spread = f64::from(refusal.refused % RETRY_STEPS) / f64::from(RETRY_STEPS);
                settings.unavailable_retry_after.mul_f64(1.0 + spread)
            }
            _ => refusal.until - now + refusal.refill * refusal.refused,
        };
        refusal.refused = refusal.refused.saturating_add(1).min(MAX_REFUSED);
        TakeResult::Refused { error, retry_after: retry_after.min(settings.max_retry_after) }
    }

    /// Records a token request and returns the number of tokens to prefetch; `None` if one is in
    /// flight.
    pub(super) fn record_request(
        &mut self,
        now: Timestamp,
        number: u64,
        settings: &QuotaSettings,
    ) -> Option<u32> {
        if self.in_flight.is_some_and(|it| now < it.sent + GRANT_LIFETIME) {
            return None;
        }
        self.in_flight = Some(InFlight { number, sent: now });
        self.drop_expired(now);
        let rate = self.usage.per_second(now);
        if rate < MIN_PREFETCH_RATE {
            return Some(0);
        }
        let stored: u32 = self.batches.iter().map(|it| it.tokens).sum();
        Some(((rate * settings.prefetch_time.as_secs_f64()) as u32).saturating_sub(stored))
    }

    /// Takes a grant over; one of an earlier token request is ignored, because it says nothing on
    /// how long its tokens may be used.
    pub(super) fn on_grant(&mut self, now: Timestamp, grant: &TokenGrant) -> Option<Timestamp> {
        let in_flight = self.in_flight.take_if(|it| it.number == grant.number)?;
        let error = match grant.is_unavailable {
            true => ErrorKind::QuotaUnavailable,
            false => ErrorKind::WorkspaceLimit,
        };
        let until = now + grant.retry_after;
        self.refusal =
            (until > now).then_some(Refusal { until, error, refused: 0, refill: grant.refill });
        let expires = in_flight.sent + GRANT_LIFETIME;
        self.insert(now, Batch { grant: grant.id, expires, tokens: grant.tokens });
        Some(expires)
    }

    /// Handles the missing reply to the token request `number`; that to an earlier one is ignored, as
    /// after a suspension of the VM.
    pub(super) fn on_no_reply(&mut self, now: Timestamp, number: u64, settings: &QuotaSettings) {
        if self.in_flight.take_if(|it| it.number == number).is_none() {
            return;
        }
        let until = now + settings.unavailable_pause;
        let error = ErrorKind::QuotaUnavailable;
        self.refusal = Some(Refusal { until, error, refused: 0, refill: Duration::ZERO });
    }

    pub(super) fn give_back(&mut self, now: Timestamp, permit: &TokenPermit) {
        self.insert(now, Batch { grant: permit.grant, expires: permit.expires, tokens: 1 });
    }

    /// Removes the tokens of the batch that expires first, if that is near, and returns those that
    /// the recent use does not need.
    pub(super) fn take_surplus(
        &mut self,
        now: Timestamp,
        settings: &QuotaSettings,
    ) -> Option<ReturnedTokens> {
        self.drop_expired(now);
        let rate = self.usage.per_second(now);
        let batch = self.batches.front_mut()?;
        let left = batch.expires - now;
        if left > settings.return_margin {
            return None;
        }
        let expected = (rate * left.as_secs_f64()).ceil() as u32;
        let tokens = batch.tokens.checked_sub(expected).filter(|it| *it > 0)?;
        let returned = ReturnedTokens { grant: batch.grant, tokens };
        batch.tokens = expected;
        if expected == 0 {
            self.batches.pop_front();
        }
        Some(returned)
    }

    fn insert(&mut self, now: Timestamp, batch: Batch) {
        if now >= batch.expires || batch.tokens == 0 {
            return;
        }
        let at = self.batches.partition_point(|it| it.expires <= batch.expires);
        match at.checked_sub(1).map(|it| &mut self.batches[it]) {
            Some(same) if same.grant == batch.grant => same.tokens += batch.tokens,
            _ => self.batches.insert(at, batch),
        }
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while self.batches.front().is_some_and(|it| it.expires <= now) {
            self.batches.pop_front();
        }
    }
}
