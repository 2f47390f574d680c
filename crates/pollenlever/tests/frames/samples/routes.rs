use pollenlever_core::mesh::{
    ClientLimits, HttpRoute, RouteConfirmation, RouteTable, ServiceLimits, WeightedService,
};
use pollenlever_core::workspace::{KeyDigest, QuotaLimit, Workspace};

use super::ms;

pub(crate) fn route_table() -> RouteTable {
    let route = HttpRoute {
        name: "charges".into(),
        host: "hulo84.example".into(),
        prefix: "/charges/".into(),
        services: vec![WeightedService { service: "charging".into(), weight: 0.75 }],
        is_public: true,
        is_idempotent: true,
        max_attempts: 3,
        timeout: ms(2400),
        latency_objective: ms(800),
        shed_order: 1,
    };
    RouteTable {
        version: 700,
        routes: vec![route],
        services: vec![ServiceLimits { service: "charging".into(), max_connections: 130 }],
        workspaces: vec![workspace()],
        limits: ClientLimits {
            max_header_bytes: 8192,
            max_body_bytes: 1 << 20,
            header_timeout: ms(2000),
            idle_timeout: ms(9000),
        },
    }
}

pub(crate) fn confirmation() -> RouteConfirmation {
    RouteConfirmation { version: 700, age: ms(350), store_era: 2 }
}

fn workspace() -> Workspace {
    Workspace {
        name: "padova".into(),
        keys: vec![KeyDigest::of("key")],
        shed_order: Some(1),
        quota: Some(QuotaLimit { rate_per_s: 12.5, burst: 25.0 }),
    }
}
