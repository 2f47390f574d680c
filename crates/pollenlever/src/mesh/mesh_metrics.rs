use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use pollenlever_core::memory::MessageKind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::{ControlAnswer, ControlFuture, ControlHandler, MeshShared, SharedControlHandler};
use crate::bounds::BoundsMetrics;
use crate::quota::QuotaMetrics;
use crate::tool::output::to_json;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];
/// HTTP path at which the metrics are served.
const METRICS_PATH: &str = "/metrics";
/// HTTP path at which the state of quotas is served.
const QUOTA_PATH: &str = "/quota";
/// HTTP path at which the members are listed.
const MEMBERS_PATH: &str = "/members";
/// `Content-Type` of the metrics.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    route: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct VersionLabels {
    protocol: String,
    build: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

type FloatGauge = Gauge<f64, AtomicU64>;
type IntGauge = Gauge<i64, AtomicI64>;

/// Counters, gauges and histograms of a node; clones share them.
#[derive(Debug, Clone)]
pub(super) struct MeshMetrics {
    registry: Arc<Registry>,
    requests: Family<RequestLabels, Counter>,
    request_seconds: Family<ServiceLabels, Histogram, fn() -> Histogram>,
    attempts: Family<OutcomeLabels, Counter>,
    seals: Family<OutcomeLabels, Counter>,
    retries: Family<ServiceLabels, Counter>,
    retries_refused: Family<ServiceLabels, Counter>,
    runs: Family<OutcomeLabels, Counter>,
    run_seconds: Histogram,
    hangups: Counter,
    unknown_keys: Counter,
    store_calls: Family<OutcomeLabels, Counter>,
    pub(super) quota: QuotaMetrics,
    pub(super) bounds: BoundsMetrics,
    gauges: Gauges,
}

/// Gauges whose values are computed when the metrics are read.
#[derive(Debug, Clone, Default)]
struct Gauges {
    in_flight: IntGauge,
    queued: IntGauge,
    limit: IntGauge,
    start_share: FloatGauge,
    rate_limit: FloatGauge,
    slowdown: FloatGauge,
    failing: FloatGauge,
    overload_failure_ratio: FloatGauge,
    report_age: FloatGauge,
    routes_version: IntGauge,
    routes_age: FloatGauge,
    routes_confirmed_age: FloatGauge,
    routes_watched: IntGauge,
    members: IntGauge,
    members_lost: IntGauge,
    members_by_version: Family<VersionLabels, IntGauge>,
    suspects: IntGauge,
    open_requests: IntGauge,
    open_connections: IntGauge,
    held_body_bytes: IntGauge,
    held_answer_bytes: IntGauge,
}

impl Gauges {
    fn register(&self, registry: &mut Registry) {
        let it = self.clone();
        registry.register("gate_in_flight", "Requests that the target runs", it.in_flight);
        registry.register("gate_queued", "Requests that wait at the gate", it.queued);
        registry.register("gate_limit", "Requests that may run at once", it.limit);
        let help = "Share of its slots that a started target may be offered; 1 without a pace";
        registry.register("target_start_share", help, it.start_share);
        let help = "Requests a second that the target states it takes";
        registry.register("target_rate_limit", help, it.rate_limit);
        let help = "How long work takes on the target's VM, as a ratio to the usual time";
        registry.register("target_slowdown_ratio", help, it.slowdown);
        registry.register("target_failing_ratio", "Runs lately rejected or failed", it.failing);
        registry.register(
            "calls_strained_ratio",
            "Calls lately failed by overload",
            it.overload_failure_ratio,
        );
        let name = "target_report_age";
        registry.register_with_unit(name, "Since the last report", Unit::Seconds, it.report_age);
        registry.register("routes_version", "Version of the routes in force", it.routes_version);
        let name = "routes_age";
        registry.register_with_unit(
            name,
            "Since they came into force",
            Unit::Seconds,
            it.routes_age,
        );
        let name = "routes_confirmed_age";
        let help = "Since they were known to be the newest in the store";
        registry.register_with_unit(name, help, Unit::Seconds, it.routes_confirmed_age);
        registry.register("routes_watched", "1 if this node watches them", it.routes_watched);
        registry.register("members", "Other nodes", it.members);
        registry.register("members_lost", "Other nodes that do not answer", it.members_lost);
        let help = "Nodes by protocol version and build, this one included";
        registry.register("members_by_version", help, it.members_by_version);
        let help = "Requests refused since they crash targets";
        registry.register("suspects", help, it.suspects);
        registry.register("open_requests", "Requests that are not answered", it.open_requests);
        registry.register("caller_connections", "Open connections", it.open_connections);
        let help = "Memory held for bodies of requests, in bytes";
        registry.register("held_body_bytes", help, it.held_body_bytes);
        let help = "Memory held for bodies of answers, in bytes";
        registry.register("held_answer_bytes", help, it.held_answer_bytes);
    }
}

impl Gauges {
    fn set_member_versions(&self, shared: &MeshShared) {
        self.members_by_version.clear();
        for (version, count) in shared.member_versions() {
            let labels = VersionLabels {
                protocol: version.protocol.map_or_else(unknown, |it| it.to_string()),
                build: version.build.map_or_else(unknown, |it| it.to_string()),
            };
            self.members_by_version.get_or_create(&labels).set(count as i64);
        }
    }
}

fn unknown() -> String {
    "unknown".to_owned()
}

impl MeshMetrics {
    pub(super) fn new() -> MeshMetrics {
        let mut registry = Registry::with_prefix("pollenlever");
        let histogram: fn() -> Histogram = || Histogram::new(LATENCY_BOUNDS_S);
        let metrics = MeshMetrics {
            requests: Family::default(),
            request_seconds: Family::new_with_constructor(histogram),
            attempts: Family::default(),
            seals: Family::default(),
            retries: Family::default(),
            retries_refused: Family::default(),
            runs: Family::default(),
            run_seconds: histogram(),
            hangups: Counter::default(),
            unknown_keys: Counter::default(),
            store_calls: Family::default(),
            quota: QuotaMetrics::default(),
            bounds: BoundsMetrics::default(),
            gauges: Gauges::default(),
            registry: Arc::default(),
        };
        let it = &metrics;
        registry.register("requests", "Answered requests of callers", it.requests.clone());
        let help = "Time from a request to its answer";
        registry.register_with_unit("request", help, Unit::Seconds, it.request_seconds.clone());
        registry.register("attempts", "Attempts by how they ended", it.attempts.clone());
        let help = "Attempts that this node sealed at their gates, by what it learned";
        registry.register("seals", help, it.seals.clone());
        registry.register("repeats", "Attempts after one that arrived", it.retries.clone());
        let help = "Repeats for which the budget had no room";
        registry.register("repeats_refused", help, it.retries_refused.clone());
        registry.register("runs", "Attempts at this gate by how they ended", it.runs.clone());
        let help = "Time from the start of a run to its end";
        registry.register_with_unit("run", help, Unit::Seconds, it.run_seconds.clone());
        registry.register("hangups", "Callers that hung up early", it.hangups.clone());
        let help = "Requests without an API key that a workspace has";
        registry.register("unknown_keys", help, it.unknown_keys.clone());
        registry.register("store_calls", "Calls to the store by result", it.store_calls.clone());
        it.quota.register(&mut registry);
        it.bounds.register(&mut registry);
        it.gauges.register(&mut registry);
        MeshMetrics { registry: Arc::new(registry), ..metrics }
    }

    /// Records an answered request of a caller and its latency.
    pub(super) fn record_request(
        &self,
        service: &str,
        route: &str,
        outcome: &'static str,
        seconds: f64,
    ) {
        let labels =
            RequestLabels { service: service.to_owned(), route: route.to_owned(), outcome };
        self.requests.get_or_create(&labels).inc();
        let labels = ServiceLabels { service: service.to_owned() };
        self.request_seconds.get_or_create(&labels).observe(seconds);
    }

    /// Records an attempt that ended.
    pub(super) fn record_attempt(&self, outcome: &'static str) {
        self.attempts.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Records an attempt that this node sealed.
    pub(super) fn record_seal(&self, outcome: &'static str) {
        self.seals.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Records a retry that the budget granted or refused.
    pub(super) fn record_retry(&self, service: &str, is_granted: bool) {
        let labels = ServiceLabels { service: service.to_owned() };
        let family = if is_granted { &self.retries } else { &self.retries_refused };
        family.get_or_create(&labels).inc();
    }

    /// Records an attempt that ended at this gate, and its run time if it ran.
    pub(super) fn record_run(&self, outcome: &'static str, seconds: Option<f64>) {
        self.runs.get_or_create(&OutcomeLabels { outcome }).inc();
        if let Some(seconds) = seconds {
            self.run_seconds.observe(seconds);
        }
    }

    /// Records a caller that hung up before its answer.
    pub(super) fn record_hangup(&self) {
        self.hangups.inc();
    }

    /// Records a request that was refused because no workspace has its API key.
    pub(super) fn record_unknown_key(&self) {
        self.unknown_keys.inc();
    }

    /// Records a call to the store.
    pub(super) fn record_store_call(&self, is_success: bool) {
        let outcome = if is_success { "good" } else { "failed" };
        self.store_calls.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    fn encode_text(&self, shared: &MeshShared) -> String {
        let it = &self.gauges;
        let load = shared.gate.load();
        it.in_flight.set(i64::from(load.in_flight));
        it.queued.set(i64::from(load.queued));
        it.limit.set(i64::from(load.limit));
        let has_pace = load.start_share_permille > 0;
        let start_share = f64::from(load.start_share_permille) / 1000.0;
        it.start_share.set(if has_pace { start_share } else { 1.0 });
        it.rate_limit.set(shared.gate.stated_rate_limit().unwrap_or_default());
        it.slowdown.set(f64::from(load.slowdown_percent) / 100.0);
        it.failing.set(f64::from(load.failing_permille) / 1000.0);
        it.overload_failure_ratio.set(f64::from(load.overload_failure_permille) / 1000.0);
        it.report_age.set(shared.gate.report_age().as_secs_f64());
        it.routes_version.set(shared.route_version() as i64);
        it.routes_age.set(shared.routes_age().as_secs_f64());
        it.routes_confirmed_age.set(shared.routes_confirmed_age().as_secs_f64());
        it.routes_watched.set(i64::from(shared.watches_routes.load(Ordering::Relaxed)));
        let (members, lost) = shared.member_counts();
        it.members.set(members as i64);
        it.members_lost.set(lost as i64);
        it.set_member_versions(shared);
        it.suspects.set(shared.blocked_request_count() as i64);
        it.open_requests.set(shared.in_flight_work.count() as i64);
        it.open_connections.set(shared.open_connection_count() as i64);
        it.held_body_bytes.set(shared.memory.held_bytes(MessageKind::Body) as i64);
        let answers = [MessageKind::TargetAnswer, MessageKind::PeerAnswer];
        let held: usize = answers.iter().map(|it| shared.memory.held_bytes(*it)).sum();
        it.held_answer_bytes.set(held as i64);
        shared.quota.update_metrics();
        let mut buf = String::new();
        encode(&mut buf, &self.registry).expect("writing to a string does not fail");
        buf
    }
}

/// Serves the metrics of a node and the state of its quotas over HTTP.
pub(super) struct MetricsHandler {
    shared: Arc<MeshShared>,
}

impl MetricsHandler {
    pub(super) fn handler(shared: Arc<MeshShared>) -> SharedControlHandler {
        Arc::new(MetricsHandler { shared })
    }
}

impl ControlHandler for MetricsHandler {
    fn handle<'a>(&'a self, method: &'a str, path: &'a str, _: &'a [u8]) -> ControlFuture<'a> {
        Box::pin(ready(self.answer(method, path)))
    }
}

impl MetricsHandler {
    fn answer(&self, method: &str, path: &str) -> ControlAnswer {
        match (method, path) {
            ("GET", METRICS_PATH) => {
                let body = self.shared.metrics.encode_text(&self.shared);
                ControlAnswer { status: 200, content_type: METRICS_TYPE, body }
            }
            ("GET", QUOTA_PATH) => {
                let body = to_json(&self.shared.quota.status());
                ControlAnswer { status: 200, content_type: "application/json", body }
            }
            ("GET", MEMBERS_PATH) => {
                let body = to_json(&self.shared.member_statuses());
                ControlAnswer { status: 200, content_type: "application/json", body }
            }
            _ => {
                let body = format!(
                    "the metrics are at {METRICS_PATH}, the state of quotas at {QUOTA_PATH}, the \
                     members at {MEMBERS_PATH}"
                );
                ControlAnswer { status: 404, content_type: "text/plain", body }
            }
        }
    }
}
