use bincode::{Decode, Encode};

use super::{ClientLimits, HttpRoute, ServiceLimits};
use crate::id::ServiceName;
use crate::workspace::Workspace;

/// Version of a route table; increases with each change.
pub type RouteVersion = u64;

/// All routes of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct RouteTable {
    /// Version of the table.
    pub version: RouteVersion,
    /// The routes, in any order.
    pub routes: Vec<HttpRoute>,
    /// Declared properties of services.
    pub services: Vec<ServiceLimits>,
    /// Workspaces whose callers may send requests; without any, requests need no API key.
    pub workspaces: Vec<Workspace>,
    /// Limits of callers' connections.
    pub limits: ClientLimits,
}

impl RouteTable {
    /// The route with the longest prefix that matches `path` on `host`, or `None` if no route does.
    /// A port in `host` and a query in `path` are ignored.
    ///
    /// ```
    /// use pollenlever_core::mesh::{HttpRoute, RouteTable};
    /// let long = HttpRoute { prefix: "/a/b/".into(), ..HttpRoute::default() };
    /// let routes = vec![HttpRoute::default(), long];
    /// let table = RouteTable { routes, ..RouteTable::default() };
    /// assert_eq!(&*table.find("LOCALHOST:80", "/a/b/c?d").unwrap().prefix, "/a/b/");
    /// assert!(table.find("elsewhere", "/a/b/c").is_none());
    /// ```
    pub fn find(&self, host: &str, path: &str) -> Option<&HttpRoute> {
        let host = host.split(':').next().unwrap_or_default();
        let path = path.split('?').next().unwrap_or_default();
        let covering = self.routes.iter().filter(|it| it.host.eq_ignore_ascii_case(host));
        covering.filter(|it| it.covers(path)).max_by_key(|it| it.prefix.len())
    }

    /// Declared properties of a service, if there are any.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceLimits> {
        self.services.iter().find(|it| it.service == *service)
    }
}
