use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabels {
    address: &'static str,
    reason: &'static str,
}

/// Counters of what the bounds refuse and close; clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct BoundsMetrics {
    closed: Family<ConnectionLabels, Counter>,
    memory_refused: Counter,
}

impl BoundsMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Connections that were closed or refused, by address and reason";
        registry.register("connections_closed", help, self.closed.clone());
        let help = "Messages that got no memory in time";
        registry.register("memory_refused", help, self.memory_refused.clone());
    }

    pub(super) fn record_closed(&self, address: &'static str, reason: &'static str) {
        self.closed.get_or_create(&ConnectionLabels { address, reason }).inc();
    }

    pub(super) fn record_memory_refused(&self) {
        self.memory_refused.inc();
    }
}
