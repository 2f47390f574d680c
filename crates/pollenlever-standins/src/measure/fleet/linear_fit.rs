/// Linear fit of measured points by least squares.
///
/// ```text
/// y = intercept + slope * x
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LinearFit {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
}

impl LinearFit {
    /// Fits a line to `points`. With fewer than two different `x`, the slope is 0.
    pub(crate) fn new(points: &[(f64, f64)]) -> LinearFit {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        LinearFit { intercept: mean_y - slope * mean_x, slope }
    }

    /// Value at `x`; a negative slope counts as 0.
    pub(crate) fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope.max(0.0) * x
    }
}
