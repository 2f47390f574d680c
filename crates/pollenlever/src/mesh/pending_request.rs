use std::sync::Arc;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::mesh::Delivery;

use super::MeshShared;
use super::log_event::{LogEvent, log_event};
use super::request_log::RequestLog;
use super::routed_request::RoutedRequest;

/// A request that is not answered yet. Dropping it before an answer is recorded means that its
/// caller hung up.
pub(super) struct PendingRequest<'a> {
    shared: &'a Arc<MeshShared>,
    req: &'a RoutedRequest,
    is_pending: bool,
}

impl<'a> PendingRequest<'a> {
    pub(super) fn new(shared: &'a Arc<MeshShared>, req: &'a RoutedRequest) -> PendingRequest<'a> {
        PendingRequest { shared, req, is_pending: true }
    }

    /// Records that the caller gets the answer of a target.
    pub(super) fn record_answer(mut self, status: u16, delivery: &Delivery) {
        let outcome = if status < 500 { "answered" } else { "target-error" };
        let is_ordinary = status < 500 && delivery.handovers() == 1;
        self.finish(outcome, status, is_ordinary, &self.shared.request_log, delivery);
    }

    /// Records that the caller gets an error from the node itself.
    pub(super) fn record_error(mut self, kind: ErrorKind, delivery: &Delivery) {
        // A workspace far over its quota must not displace the lines of other requests.
        let is_quota_refusal =
            matches!(kind, ErrorKind::WorkspaceLimit | ErrorKind::QuotaUnavailable);
        let log = if is_quota_refusal { &self.shared.quota.log } else { &self.shared.request_log };
        self.finish(kind.as_str(), kind.response().status, false, log, delivery);
    }

    fn finish(
        &mut self,
        outcome: &'static str,
        status: u16,
        is_ordinary: bool,
        log: &RequestLog,
        delivery: &Delivery,
    ) {
        self.is_pending = false;
        let now = self.shared.clock.now();
        let req = self.req;
        let took = now.saturating_sub(req.arrived);
        self.shared.metrics.record_request(
            &req.service,
            &req.route.name,
            outcome,
            took.as_secs_f64(),
        );
        if is_ordinary && !RequestLog::is_sampled(&req.id) {
            return;
        }
        let Some(omitted) = log.admit_line(now) else { return };
        log_event!(
            LogEvent::RequestEnded,
            "request={} route={} service={} routes={} status={status} outcome={outcome} \
             took_ms={} left_ms={} arrivals={} refusals={} depth={} repeat={:.2} omitted={omitted}",
            req.id,
            req.route.name,
            req.service,
            req.route_version,
            took.as_millis(),
            req.deadline.saturating_sub(now).as_millis(),
            delivery.handovers(),
            delivery.refusals(),
            req.lineage.depth,
            req.lineage.repeat
        );
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.is_pending {
            return;
        }
        let now = self.shared.clock.now();
        self.shared.metrics.record_hangup();
        if let Some(omitted) = self.shared.request_log.admit_line(now) {
            log_event!(
                LogEvent::CallerHungUp,
                "request={} service={} after_ms={} omitted={omitted}",
                self.req.id,
                self.req.service,
                now.saturating_sub(self.req.arrived).as_millis()
            );
        }
    }
}
