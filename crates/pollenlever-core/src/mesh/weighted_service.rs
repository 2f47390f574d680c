use bincode::{Decode, Encode};

use crate::id::ServiceName;

/// A service with its weight in a route.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: f64,
}
