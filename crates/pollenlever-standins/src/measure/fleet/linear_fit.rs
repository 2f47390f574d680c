/// Straight line through measured points, by least squares.
///
/// ```text
/// y = base + slope * x
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LinearFit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
}

impl LinearFit {
    /// The line through `points`; level if they have less than two different `x`.
    pub(crate) fn new(points: &[(f64, f64)]) -> LinearFit {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        LinearFit { base: mean_y - slope * mean_x, slope }
    }

    /// Value at `x`, but not below the base where the slope is negative.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.base + self.slope.max(0.0) * x
    }
}
