use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the call counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CallLabels {
    pub(super) service: String,
    pub(super) kind: String,
    pub(super) verdict: &'static str,
    pub(super) reason: &'static str,
}

/// Labels of the latency histogram.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct KindLabels {
    pub(super) service: String,
    pub(super) kind: String,
}

/// Labels of the event counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EventLabels {
    pub(super) event: &'static str,
}
