use std::time::Duration;

use pollenlever_core::config::Importance;

use super::{Phase, ResendPolicy};

/// A customer and its share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct CustomerShare {
    /// Name of the customer.
    pub name: String,
    /// Weight of its requests against those of other customers.
    pub weight: f64,
}

/// Load of one trial.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadSpec {
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Rates of arrivals, one after the other.
    pub phases: Vec<Phase>,
    /// Weights of requests by importance, in the order of [`Importance::ALL`].
    pub mix: [f64; Importance::ALL.len()],
    /// Customers, each with its weight.
    pub customers: Vec<CustomerShare>,
    /// How failed requests are sent again.
    pub resend: ResendPolicy,
    /// Time within which a whole answer is good.
    pub deadline: Duration,
    /// Delay one way between callers and nodes.
    pub delay: Duration,
    /// Service that is called.
    pub service: String,
    /// Services that a whole answer names.
    pub depth: usize,
}

impl LoadSpec {
    /// Length of all phases.
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|it| it.length).sum()
    }
}

impl Default for LoadSpec {
    fn default() -> LoadSpec {
        let customer = |name: &str| CustomerShare { name: name.to_owned(), weight: 1.0 };
        LoadSpec {
            seed: 1,
            phases: Vec::new(),
            mix: [0.2, 0.4, 0.25, 0.15],
            customers: ["bologna", "padova", "milano", "modena"].map(customer).to_vec(),
            resend: ResendPolicy::default(),
            deadline: Duration::from_secs(2),
            delay: Duration::from_millis(8),
            service: "balance".to_owned(),
            depth: 4,
        }
    }
}
