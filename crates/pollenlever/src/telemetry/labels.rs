use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the counter of calls.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CallLabels {
    pub(super) service: String,
    pub(super) kind: String,
    pub(super) verdict: &'static str,
    pub(super) reason: &'static str,
}

/// Labels of the histogram of latencies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct KindLabels {
    pub(super) service: String,
    pub(super) kind: String,
}

/// Labels of the counter of the driver's events.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EventLabels {
    pub(super) event: &'static str,
}
