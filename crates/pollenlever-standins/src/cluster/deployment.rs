use std::str::FromStr;
use std::time::Duration;

use pollenlever_core::config::{Importance, PathPattern, RequestKind, ServiceConfig};

use super::{ClusterSpec, ServiceSpec};
use crate::target::DownstreamCall;

/// Number of targets of each service.
const TARGETS: usize = 6;
/// Time for which a request occupies a slot, not counting its downstream calls.
const SERVICE_TIME: Duration = Duration::from_millis(40);

/// The two deployments that the measurements run on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Deployment {
    /// Example deployment: print quota billing in northern Italy.
    #[default]
    Ferraresi,
    /// Example deployment: road marking in Iceland.
    Vegmerking,
}

impl Deployment {
    /// Four services of six targets each in three regions; each service calls the next one.
    pub fn spec(self) -> ClusterSpec {
        let (regions, names, last_slots, last_connections) = match self {
            Deployment::Ferraresi => (
                ["lombardia", "veneto", "emilia"],
                ["balance", "history", "credit", "charging"],
                5,
                130,
            ),
            Deployment::Vegmerking => (
                ["sudvestur", "nordur", "austur"],
                ["sheets", "stock", "crews", "purchasing"],
                7,
                140,
            ),
        };
        let regions = regions.map(str::to_owned).to_vec();
        let service = |index: usize| {
            let (slots, connections) =
                if index == 3 { (last_slots, last_connections) } else { (36, 300) };
            let calls = names.get(index + 1).map(|next| DownstreamCall {
                method: "GET".to_owned(),
                path: format!("{next}/read"),
            });
            let config = ServiceConfig {
                service: names[index].into(),
                slots,
                connections,
                regions: regions.iter().map(|it| it.as_str().into()).collect(),
                kinds: kinds(),
                ..ServiceConfig::default()
            };
            let calls = calls.into_iter().collect();
            let service_time = SERVICE_TIME;
            ServiceSpec {
                config,
                target_count: TARGETS,
                service_time,
                calls,
                ..ServiceSpec::default()
            }
        };
        let services = (0..names.len()).map(service).collect();
        ClusterSpec { services, regions: regions.clone(), ..ClusterSpec::default() }
    }
}

impl FromStr for Deployment {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Deployment, &'static str> {
        match text {
            "ferraresi" => Ok(Deployment::Ferraresi),
            "vegmerking" => Ok(Deployment::Vegmerking),
            _ => Err("expected ferraresi or vegmerking"),
        }
    }
}

/// Request kinds of every service: one read kind for each importance, and a non-idempotent write.
fn kinds() -> Vec<RequestKind> {
    let kind = |name: &str, importance| RequestKind {
        name: name.into(),
        path: PathPattern::from(format!("/{name}").as_str()),
        importance,
        ..RequestKind::default()
    };
    let write = RequestKind {
        method: "POST".to_owned(),
        is_idempotent: false,
        derive_key: true,
        ..kind("charge", Importance::Critical)
    };
    vec![
        kind("read", Importance::Normal),
        kind("report", Importance::Sheddable),
        kind("check", Importance::High),
        kind("pay", Importance::Critical),
        write,
    ]
}
