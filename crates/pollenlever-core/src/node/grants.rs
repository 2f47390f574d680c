use std::time::Duration;

use rand::Rng;

use super::context::Context;
use super::delivery::DeliveryStage;
use super::exchange_purpose::ExchangePurpose;
use super::node::Node;
use super::open_call::CallStage;
use super::timers::Timer;
use crate::Timestamp;
use crate::chain::TokenBucket;
use crate::id::{ChainId, ExchangeId, ServiceName};
use crate::message::PeerRequest;

/// Retry budgets: grants by the chain's origin and local budgets per service.
impl Node {
    /// Asks the chain's origin to grant a retry.
    pub(super) fn request_grant(
        &mut self,
        cx: &mut Context<'_>,
        chain: ChainId,
        purpose: ExchangePurpose,
    ) {
        if chain.origin == self.me {
            let granted = self.chain_retry_budgets.take_retry(cx.now, chain);
            return self.on_grant(cx, purpose, granted);
        }
        let req = PeerRequest::Grant(chain);
        let exchange = self.send(cx, purpose, chain.origin, req, bytes::Bytes::new());
        self.timers.set(cx.now + self.cfg.grant_timeout, Timer::GrantTimeout(exchange));
        match purpose {
            ExchangePurpose::RetryGrant(id) => {
                if let Some(delivery) = self.deliveries.get_mut(&id) {
                    delivery.stage = DeliveryStage::AwaitingGrant(exchange);
                }
            }
            ExchangePurpose::ResendGrant(id) | ExchangePurpose::ForwardGrant(id) => {
                self.set_call_stage(id, CallStage::AwaitingGrant(exchange));
            }
            _ => {}
        }
    }

    pub(super) fn on_grant_timeout(&mut self, cx: &mut Context<'_>, exchange: ExchangeId) {
        let Some(&purpose) = self.exchanges.get(&exchange) else { return };
        self.cancel_exchange(cx, exchange);
        self.on_grant(cx, purpose, false);
    }

    fn on_grant(&mut self, cx: &mut Context<'_>, purpose: ExchangePurpose, granted: bool) {
        match purpose {
            ExchangePurpose::RetryGrant(delivery) => self.on_retry_grant(cx, delivery, granted),
            ExchangePurpose::ResendGrant(call) => self.on_resend_grant(cx, call, granted),
            ExchangePurpose::ForwardGrant(call) => self.on_forward_grant(cx, call, granted),
            _ => {}
        }
    }

    /// Adds the share of a retry that a first attempt earns to the service's retry budget.
    pub(super) fn record_first_attempt(&mut self, now: Timestamp, service: &ServiceName) {
        let ratio = self.services.get(service).map_or(0.0, |it| it.retry_ratio);
        self.retry_bucket(now, service).deposit(ratio);
    }

    /// Takes a retry from the service's retry budget. Returns whether there was one.
    pub(super) fn take_service_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.retry_bucket(now, service).try_take(now)
    }

    fn retry_bucket(&mut self, now: Timestamp, service: &ServiceName) -> &mut TokenBucket {
        let (burst, rate) = (self.cfg.retry_burst, self.cfg.min_retries_per_s);
        let bucket = self.retry_buckets.entry(service.clone());
        bucket.or_insert_with(|| TokenBucket::new(now, burst, rate))
    }

    /// Retry delay with jitter, so that refused callers do not return at the same time.
    pub(super) fn jittered_retry_after(&mut self) -> Duration {
        self.cfg.retry_after.mul_f64(self.rng.random_range(0.5..1.5))
    }
}
