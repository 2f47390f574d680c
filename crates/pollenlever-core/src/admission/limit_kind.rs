use super::{BoxLimit, ConcurrencyLimit, FailureLimit, GradientLimit};

/// How the concurrency limit of a gate is learned.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitKind {
    /// From the concurrency that successful runs need; see [`ConcurrencyLimit`].
    #[default]
    Concurrency,
    /// From the gradient of latency; see [`GradientLimit`].
    Gradient,
    /// From failed runs alone; see [`FailureLimit`].
    Failures,
}

impl LimitKind {
    /// Whether each class of requests has a limit of its own.
    pub(super) fn is_by_class(self) -> bool {
        self == LimitKind::Failures
    }

    /// A new limit of this kind.
    pub fn build(self) -> BoxLimit {
        match self {
            LimitKind::Concurrency => Box::new(ConcurrencyLimit::default()),
            LimitKind::Gradient => Box::new(GradientLimit::default()),
            LimitKind::Failures => Box::new(FailureLimit::default()),
        }
    }
}
