use std::sync::Arc;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::mesh::Delivery;

use super::MeshShared;
use super::log_event::{LogEvent, log_event};
use super::owned_request::OwnedRequest;
use super::request_log::RequestLog;

/// A request that is not answered yet. Dropped before it is, its caller has hung up.
pub(super) struct OpenRequest<'a> {
    shared: &'a Arc<MeshShared>,
    req: &'a OwnedRequest,
    is_open: bool,
}

impl<'a> OpenRequest<'a> {
    pub(super) fn new(shared: &'a Arc<MeshShared>, req: &'a OwnedRequest) -> OpenRequest<'a> {
        OpenRequest { shared, req, is_open: true }
    }

    /// Notes that the caller gets a target's answer.
    pub(super) fn answered(mut self, status: u16, delivery: &Delivery) {
        let outcome = if status < 500 { "answered" } else { "target-error" };
        let is_ordinary = status < 500 && delivery.arrivals() == 1;
        self.end(outcome, status, is_ordinary, delivery);
    }

    /// Notes that the caller gets an error of the node's own.
    pub(super) fn failed(mut self, kind: ErrorKind, delivery: &Delivery) {
        self.end(kind.as_str(), kind.response().status, false, delivery);
    }

    fn end(&mut self, outcome: &'static str, status: u16, is_ordinary: bool, delivery: &Delivery) {
        self.is_open = false;
        let now = self.shared.clock.now();
        let req = self.req;
        let took = now.saturating_sub(req.arrived);
        self.shared.metrics.request(&req.service, &req.route.name, outcome, took.as_secs_f64());
        if is_ordinary && !RequestLog::samples(&req.id) {
            return;
        }
        let Some(omitted) = self.shared.request_log.admit(now) else { return };
        log_event!(
            LogEvent::RequestEnded,
            "request={} route={} service={} routes={} status={status} outcome={outcome} \
             took_ms={} left_ms={} arrivals={} refusals={} depth={} repeat={:.2} omitted={omitted}",
            req.id,
            req.route.name,
            req.service,
            req.routes,
            took.as_millis(),
            req.deadline.saturating_sub(now).as_millis(),
            delivery.arrivals(),
            delivery.refusals(),
            req.lineage.depth,
            req.lineage.repeat
        );
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        let now = self.shared.clock.now();
        self.shared.metrics.hangup();
        if let Some(omitted) = self.shared.request_log.admit(now) {
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
