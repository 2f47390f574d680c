use std::sync::Arc;
use std::time::Instant;

use pollenlever_core::answer::ErrorKind;
use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::{KindName, NodeId, ServiceName};
use pollenlever_core::policy::Observation;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;

use super::call_metrics::CallMetrics;
use super::labels::EventLabels;
use super::series_table::SeriesTable;
use super::{KindBurn, NodeBurn, Telemetry, Verdict};
use crate::bounds::BoundsMetrics;

/// Service or kind name under which calls to undeclared services or kinds are counted.
const UNDECLARED: &str = "undeclared";

/// Metrics and windowed counts of one node.
#[derive(Debug)]
pub struct NodeTelemetry {
    node: NodeId,
    region: String,
    zone: String,
    started: Instant,
    registry: Registry,
    metrics: CallMetrics,
    series: SeriesTable,
    undeclared: Arc<str>,
}

impl NodeTelemetry {
    /// Creates empty counts for `node`.
    ///
    /// ```
    /// use pollenlever::telemetry::{NodeTelemetry, Telemetry};
    /// let node = "127.0.0.1:7101@1f".parse().unwrap();
    /// let telemetry = NodeTelemetry::new("lombardia", "lombardia-a", node);
    /// telemetry.record_event("late_answers");
    /// let line = r#"pollenlever_events_total{event="late_answers"} 1"#;
    /// assert!(telemetry.metrics_text().contains(line));
    /// ```
    pub fn new(region: &str, zone: &str, node: NodeId) -> NodeTelemetry {
        let mut registry = Registry::with_prefix("pollenlever");
        let metrics = CallMetrics::register(&mut registry);
        let info = vec![
            ("node", node.to_string()),
            ("region", region.to_owned()),
            ("zone", zone.to_owned()),
            ("version", env!("CARGO_PKG_VERSION").to_owned()),
        ];
        registry.register("node", "This node", Info::new(info));
        NodeTelemetry {
            node,
            region: region.to_owned(),
            zone: zone.to_owned(),
            started: Instant::now(),
            registry,
            series: SeriesTable::new(metrics.clone()),
            metrics,
            undeclared: UNDECLARED.into(),
        }
    }

    /// Adds the counters of what the bounds of the process refuse and close.
    pub(crate) fn with_bounds(mut self, bounds: &BoundsMetrics) -> NodeTelemetry {
        bounds.register(&mut self.registry);
        self
    }

    /// Returns the counts of all request kinds so far.
    pub fn burn(&self) -> NodeBurn {
        let now = self.started.elapsed();
        let mut kinds: Vec<KindBurn> = self.series.all().iter().map(|it| it.burn(now)).collect();
        kinds.sort_by(|a, b| (&a.service, &a.kind).cmp(&(&b.service, &b.kind)));
        NodeBurn {
            node: self.node.to_string(),
            region: self.region.clone(),
            zone: self.zone.clone(),
            uptime_s: now.as_secs(),
            kinds,
        }
    }

    /// Returns the service and kind under which a call is counted. Undeclared names come from the
    /// caller and are replaced by `undeclared`, so that callers cannot create any number of series.
    fn counted_names<'a>(&'a self, call: &'a Observation) -> (&'a ServiceName, &'a KindName) {
        match call.error {
            Some(ErrorKind::UnknownService | ErrorKind::MalformedRequest) => {
                (&self.undeclared, &self.undeclared)
            }
            Some(ErrorKind::UnknownRequestKind | ErrorKind::MethodNotAllowed) => {
                (&call.service, &self.undeclared)
            }
            _ => (&call.service, &call.kind),
        }
    }
}

impl Telemetry for NodeTelemetry {
    fn set_objectives(&self, cfg: &ServiceConfig) {
        for kind in &cfg.kinds {
            self.series.get(&cfg.service, &kind.name).set_objective((&kind.objective).into());
        }
    }

    fn record_call(&self, call: &Observation) {
        let (service, kind) = self.counted_names(call);
        let verdict = Verdict::of(call);
        self.series.get(service, kind).record_call(self.started.elapsed(), verdict, call.latency);
    }

    fn record_event(&self, name: &'static str) {
        self.metrics.events.get_or_create(&EventLabels { event: name }).inc();
    }

    fn metrics_text(&self) -> String {
        let mut buf = String::new();
        let written = encode(&mut buf, &self.registry);
        written.expect("writing to a string does not fail");
        buf
    }

    fn burn_json(&self) -> String {
        serde_json::to_string(&self.burn()).expect("counts and names are plain JSON")
    }
}
