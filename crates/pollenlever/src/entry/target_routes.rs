use std::sync::Arc;

use pollenlever_core::policy::TargetNotice;
use rocket::State;
use rocket::http::Status;
use rocket::route::Route;
use rocket::serde::json::Json;
use serde::Deserialize;

use super::EntryState;

/// Body of the notice that the target is ready to serve.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    service: String,
    /// Number of requests that the target runs at once; `None` if it does not say.
    slots: Option<u32>,
    /// Whether the caches of the target are cold.
    #[serde(default)]
    cold: bool,
}

/// Body of the target's regular report of its load.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadReport {
    in_flight: u32,
    healthy: bool,
}

/// Routes under `/pollenlever/v1/target`, with which the target reports about itself.
pub(super) fn target_routes() -> Vec<Route> {
    rocket::routes![announce, load, leave]
}

#[rocket::post("/announce", data = "<announcement>")]
async fn announce(announcement: Json<Announcement>, state: &State<Arc<EntryState>>) -> Status {
    let Announcement { service, slots, cold } = announcement.into_inner();
    log::info!("target announced service={service} slots={slots:?} cold={cold}");
    state
        .target
        .handle_notice(TargetNotice::Announce { service: service.into(), slots, cold })
        .await;
    Status::NoContent
}

#[rocket::post("/load", data = "<report>")]
async fn load(report: Json<LoadReport>, state: &State<Arc<EntryState>>) -> Status {
    let LoadReport { in_flight, healthy } = report.into_inner();
    state.target.handle_notice(TargetNotice::Load { in_flight, healthy }).await;
    Status::NoContent
}

#[rocket::post("/leave")]
async fn leave(state: &State<Arc<EntryState>>) -> Status {
    log::info!("target is leaving");
    state.target.handle_notice(TargetNotice::Leaving).await;
    Status::NoContent
}
