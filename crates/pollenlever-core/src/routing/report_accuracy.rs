/// Weight of a new reply in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.01;
/// Replies after which the averages are used.
const MIN_SAMPLES: u32 = 50;
/// Largest latency of a reply that is used, relative to the mean latency of its node, so that a
/// few late replies do not decide.
const MAX_RELATIVE_LATENCY: f64 = 4.0;

/// How far the slowdowns that the targets of a service report show in the latencies of their replies.
///
/// It is the slope of the regression of the relative latency on the relative slowdown, with both
/// relative to the mean of their node. Reports that have nothing to do with the latencies have a slope
/// near 0, and a report that explains all of the difference has a slope of 1.
#[derive(Debug, Default)]
pub(super) struct ReportAccuracy {
    samples: u32,
    mean_slowdown: f64,
    mean_latency: f64,
    variance: f64,
    covariance: f64,
}

impl ReportAccuracy {
    /// Records a reply: the slowdown reported with it and its latency, each divided by the mean of
    /// the node.
    pub(super) fn record(&mut self, slowdown: f64, latency: f64) {
        let latency = latency.min(MAX_RELATIVE_LATENCY);
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let slowdown_offset = slowdown - self.mean_slowdown;
        let latency_offset = latency - self.mean_latency;
        self.mean_slowdown += weight * slowdown_offset;
        self.mean_latency += weight * latency_offset;
        let kept = 1.0 - weight;
        self.variance = kept * (self.variance + weight * slowdown_offset * slowdown_offset);
        self.covariance = kept * (self.covariance + weight * slowdown_offset * latency_offset);
    }

    /// Share of a reported slowdown that is to be expected, from 0 to 1; 0 while it is not known.
    pub(super) fn expected_share(&self) -> f64 {
        if self.samples < MIN_SAMPLES || self.variance <= f64::EPSILON {
            return 0.0;
        }
        (self.covariance / self.variance).clamp(0.0, 1.0)
    }
}
