use bincode::{Decode, Encode};
use pollenlever_core::mesh::{ClientLimits, RouteTable as Current, RouteVersion, ServiceLimits};

use super::HttpRoute;

/// Routes of one version of the configuration, without workspaces. It is only sent: a node that took
/// such a table from another one would not know which requests need an API key.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) struct RouteTable {
    version: RouteVersion,
    routes: Vec<HttpRoute>,
    services: Vec<ServiceLimits>,
    limits: ClientLimits,
}

impl From<Current> for RouteTable {
    fn from(it: Current) -> RouteTable {
        RouteTable {
            version: it.version,
            routes: it.routes.into_iter().map(HttpRoute::from).collect(),
            services: it.services,
            limits: it.limits,
        }
    }
}
