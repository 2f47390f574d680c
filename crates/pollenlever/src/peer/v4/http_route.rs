use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};
use pollenlever_core::mesh::{HttpRoute as Current, WeightedService};

/// Rule for requests to one host and path prefix, without whether it needs an API key.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) struct HttpRoute {
    name: Arc<str>,
    host: Arc<str>,
    prefix: Arc<str>,
    services: Vec<WeightedService>,
    is_idempotent: bool,
    max_attempts: u32,
    timeout: Duration,
    latency_objective: Duration,
    shed_order: u32,
}

impl From<Current> for HttpRoute {
    fn from(it: Current) -> HttpRoute {
        HttpRoute {
            name: it.name,
            host: it.host,
            prefix: it.prefix,
            services: it.services,
            is_idempotent: it.is_idempotent,
            max_attempts: it.max_attempts,
            timeout: it.timeout,
            latency_objective: it.latency_objective,
            shed_order: it.shed_order,
        }
    }
}
