use std::time::Duration;

use rand::Rng;

use super::cx::Cx;
use super::delivery::DeliveryStage;
use super::exchange::Exchange;
use super::node::Node;
use super::open_call::CallStage;
use super::timers::Timer;
use crate::Timestamp;
use crate::chain::TokenBucket;
use crate::id::{ChainId, ExchangeId, ServiceName};
use crate::message::PeerRequest;

/// Grants of retries, asked of the chain's origin.
impl Node {
    /// Asks the chain's origin for a retry.
    pub(super) fn ask_grant(&mut self, cx: &mut Cx<'_>, chain: ChainId, why: Exchange) {
        if chain.origin == self.me {
            let granted = self.ledger.grant(cx.now, chain);
            return self.on_grant(cx, why, granted);
        }
        let req = PeerRequest::Grant(chain);
        let exchange = self.send(cx, why, chain.origin, req, bytes::Bytes::new());
        self.timers.set(cx.now + self.cfg.grant_timeout, Timer::GrantTimeout(exchange));
        match why {
            Exchange::RetryGrant(id) => {
                if let Some(delivery) = self.deliveries.get_mut(&id) {
                    delivery.stage = DeliveryStage::Granting(exchange);
                }
            }
            Exchange::ResendGrant(id) | Exchange::ForwardGrant(id) => {
                self.set_call_stage(id, CallStage::Granting(exchange));
            }
            _ => {}
        }
    }

    pub(super) fn on_grant_timeout(&mut self, cx: &mut Cx<'_>, exchange: ExchangeId) {
        let Some(&why) = self.exchanges.get(&exchange) else { return };
        self.cancel_exchange(cx, exchange);
        self.on_grant(cx, why, false);
    }

    fn on_grant(&mut self, cx: &mut Cx<'_>, why: Exchange, granted: bool) {
        match why {
            Exchange::RetryGrant(delivery) => self.on_retry_grant(cx, delivery, granted),
            Exchange::ResendGrant(call) => self.on_resend_grant(cx, call, granted),
            Exchange::ForwardGrant(call) => self.on_forward_grant(cx, call, granted),
            _ => {}
        }
    }

    /// Counts a first attempt towards the retries that its service may get.
    pub(super) fn count_first_attempt(&mut self, now: Timestamp, service: &ServiceName) {
        let ratio = self.services.get(service).map_or(0.0, |it| it.retry_ratio);
        self.retry_bucket(now, service).deposit(ratio);
    }

    /// Takes a retry from those that the service may get.
    pub(super) fn take_service_retry(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.retry_bucket(now, service).take(now)
    }

    fn retry_bucket(&mut self, now: Timestamp, service: &ServiceName) -> &mut TokenBucket {
        let (floor, rate) = (self.cfg.retry_floor, self.cfg.retry_floor_rate);
        let bucket = self.retries.entry(service.clone());
        bucket.or_insert_with(|| TokenBucket::new(now, floor, rate))
    }

    /// Time to come back, spread so that refused callers do not return together.
    pub(super) fn spread_retry_after(&mut self) -> Duration {
        self.cfg.retry_after.mul_f64(self.rng.random_range(0.5..1.5))
    }
}
