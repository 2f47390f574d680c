use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::labels::{CallLabels, EventLabels, KindLabels};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Prometheus metric families of a node.
#[derive(Debug, Clone)]
pub(super) struct CallMetrics {
    pub(super) calls: Family<CallLabels, Counter>,
    pub(super) latencies: Family<KindLabels, Histogram, fn() -> Histogram>,
    pub(super) events: Family<EventLabels, Counter>,
}

impl CallMetrics {
    /// Creates the metric families and adds them to `registry`.
    pub(super) fn register(registry: &mut Registry) -> CallMetrics {
        let metrics = CallMetrics {
            calls: Family::default(),
            latencies: Family::new_with_constructor(|| Histogram::new(LATENCY_BOUNDS_S)),
            events: Family::default(),
        };
        let CallMetrics { calls, latencies, events } = metrics.clone();
        registry.register("calls", "Ended calls by verdict and reason", calls);
        registry.register("call_seconds", "Time from arrival to answer", latencies);
        registry.register("events", "Events of the node by name", events);
        metrics
    }
}
