use super::{BoxLimit, ConcurrencyLimit, FailureLimit, GradientLimit};

/// Algorithm that learns the concurrency limit of a gate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitKind {
    /// From the throughput of successful runs; see [`ConcurrencyLimit`].
    #[default]
    Concurrency,
    /// From the gradient of the service time; see [`GradientLimit`].
    Gradient,
    /// From failed runs only; see [`FailureLimit`].
    Failures,
}

impl LimitKind {
    /// Whether each class of requests has its own limit.
    pub(super) fn is_per_class(self) -> bool {
        self == LimitKind::Failures
    }

    /// Creates a limit of this kind.
    pub fn build(self) -> BoxLimit {
        match self {
            LimitKind::Concurrency => Box::new(ConcurrencyLimit::default()),
            LimitKind::Gradient => Box::new(GradientLimit::default()),
            LimitKind::Failures => Box::new(FailureLimit::default()),
        }
    }
}
