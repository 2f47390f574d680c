use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};

use super::WeightedService;
use crate::config::Importance;

/// Where requests of one host and path prefix go, and how.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct HttpRoute {
    /// Name, unique within the table.
    pub name: Arc<str>,
    /// Host of the requests, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of their paths, with a slash at both ends.
    pub prefix: Arc<str>,
    /// Services that run the requests.
    pub services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Targets to which one request may be handed at most.
    pub max_attempts: u32,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub latency_target: Duration,
    /// Order of shedding; 0 is shed last.
    pub rank: u32,
}

impl HttpRoute {
    /// The importance that stands for the route's rank.
    ///
    /// ```
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::HttpRoute;
    /// let route = HttpRoute { rank: 0, ..HttpRoute::default() };
    /// assert_eq!(route.importance(), Importance::Critical);
    /// ```
    pub fn importance(&self) -> Importance {
        match self.rank {
            0 => Importance::Critical,
            1 => Importance::High,
            2 => Importance::Normal,
            _ => Importance::Sheddable,
        }
    }

    /// Whether `path`, without its query, lies under the prefix.
    ///
    /// ```
    /// use pollenlever_core::mesh::HttpRoute;
    /// let route = HttpRoute { prefix: "/a/".into(), ..HttpRoute::default() };
    /// assert!(route.covers("/a/7"));
    /// assert!(!route.covers("/a"));
    /// ```
    pub fn covers(&self, path: &str) -> bool {
        path.starts_with(&*self.prefix)
    }
}

impl Default for HttpRoute {
    fn default() -> HttpRoute {
        HttpRoute {
            name: "default".into(),
            host: "localhost".into(),
            prefix: "/".into(),
            services: Vec::new(),
            idempotent: false,
            max_attempts: 1,
            timeout: Duration::from_secs(5),
            latency_target: Duration::from_secs(1),
            rank: 2,
        }
    }
}
