use super::WeightedService;
use crate::id::ServiceName;

/// Distributes requests over services in proportion to their weights (smooth weighted round-robin).
///
/// Each choice adds every service's weight to its credit, picks the service with the most credit
/// and subtracts the sum of all weights from it. The shares are therefore correct over any sequence
/// of choices, not only on average.
#[derive(Debug, Clone, Default)]
pub struct WeightedSplit {
    services: Vec<WeightedService>,
    credits: Vec<f64>,
}

impl WeightedSplit {
    /// Creates a split. `phase`, from 0 to 1, offsets the sequence of choices so that nodes with
    /// different phases do not all choose the same service at the same time. Services whose weight
    /// is not positive and finite are left out.
    ///
    /// ```
    /// use pollenlever_core::mesh::{WeightedService, WeightedSplit};
    /// let part = |service: &str, weight| WeightedService { service: service.into(), weight };
    /// let mut split = WeightedSplit::new(&[part("old", 3.0), part("new", 1.0)], 0.0);
    /// let new = (0..8).filter(|_| &*split.choose().unwrap() == "new").count();
    /// assert_eq!(new, 2);
    /// ```
    pub fn new(services: &[WeightedService], phase: f64) -> WeightedSplit {
        let usable = services.iter().filter(|it| it.weight.is_finite() && it.weight > 0.0);
        let services: Vec<WeightedService> = usable.cloned().collect();
        let credits = services.iter().map(|it| it.weight * phase).collect();
        WeightedSplit { services, credits }
    }

    /// Whether the split was created from these services and weights.
    pub fn has_services(&self, services: &[WeightedService]) -> bool {
        let usable = services.iter().filter(|it| it.weight.is_finite() && it.weight > 0.0);
        usable.eq(self.services.iter())
    }

    /// Chooses the service of the next request; `None` if no service has a usable weight.
    pub fn choose(&mut self) -> Option<ServiceName> {
        let total: f64 = self.services.iter().map(|it| it.weight).sum();
        for (credit, service) in self.credits.iter_mut().zip(&self.services) {
            *credit += service.weight;
        }
        let by_credit = |a: &(usize, &f64), b: &(usize, &f64)| a.1.total_cmp(b.1);
        let (chosen, _) = self.credits.iter().enumerate().max_by(by_credit)?;
        self.credits[chosen] -= total;
        Some(self.services[chosen].service.clone())
    }
}
