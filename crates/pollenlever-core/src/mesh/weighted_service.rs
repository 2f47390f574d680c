use bincode::{Decode, Encode};

use crate::id::ServiceName;

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the other weights of the route.
    pub weight: f64,
}
