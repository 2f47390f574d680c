use std::sync::Arc;
use std::time::Duration;

use bincode::{Decode, Encode};

use super::WeightedService;
use crate::config::Importance;
use crate::workspace::Workspace;

/// Rule for requests to one host and path prefix: which services run them, and with which limits.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct HttpRoute {
    /// Name, unique within the route table.
    pub name: Arc<str>,
    /// Host to which the requests are addressed, in lower case and without a port.
    pub host: Arc<str>,
    /// Prefix of the request paths; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Services among which the requests are split by weight.
    pub services: Vec<WeightedService>,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Maximum number of targets to which one request may be handed.
    pub max_attempts: u32,
    /// Maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// Latency up to which an answer has its full value for the caller.
    pub latency_objective: Duration,
    /// Order of load shedding; 0 is shed last.
    pub shed_order: u32,
}

impl HttpRoute {
    /// The importance (priority for load shedding) that corresponds to the route's `shed_order`.
    ///
    /// ```
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::HttpRoute;
    /// let route = HttpRoute { shed_order: 0, ..HttpRoute::default() };
    /// assert_eq!(route.importance(), Importance::Critical);
    /// ```
    pub fn importance(&self) -> Importance {
        importance_of(self.shed_order)
    }

    /// The importance of a request of this route that a caller of `workspace` sends. The workspace's
    /// shed order goes before the route's. Four levels cannot hold all pairs of the two: the route
    /// decides only within workspaces of shed order 1, which is the usual one.
    ///
    /// ```
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::HttpRoute;
    /// use pollenlever_core::workspace::Workspace;
    /// let route = HttpRoute { shed_order: 0, ..HttpRoute::default() };
    /// let usual = Workspace { shed_order: Some(1), ..Workspace::default() };
    /// let first = Workspace { shed_order: Some(0), ..Workspace::default() };
    /// assert_eq!(route.importance_for(&usual), Importance::High);
    /// assert_eq!(route.importance_for(&first), Importance::Critical);
    /// ```
    pub fn importance_for(&self, workspace: &Workspace) -> Importance {
        let shed_order = match workspace.shed_order {
            None => self.shed_order,
            Some(0) => 0,
            Some(1) => self.shed_order.saturating_add(1),
            Some(_) => u32::MAX,
        };
        importance_of(shed_order)
    }

    /// Whether `path`, given without its query, starts with the prefix.
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
            is_public: false,
            is_idempotent: false,
            max_attempts: 1,
            timeout: Duration::from_secs(5),
            latency_objective: Duration::from_secs(1),
            shed_order: 2,
        }
    }
}

fn importance_of(shed_order: u32) -> Importance {
    match shed_order {
        0 => Importance::Critical,
        1 => Importance::High,
        2 => Importance::Normal,
        _ => Importance::Sheddable,
    }
}
