use std::sync::Arc;

use pollenlever_core::policy::TargetNotice;
use rocket::State;
use rocket::http::Status;
use rocket::route::Route;
use rocket::serde::json::Json;
use serde::Deserialize;

use super::EntryState;

/// A target that is ready to serve.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    service: String,
    slots: Option<u32>,
    #[serde(default)]
    cold: bool,
}

/// A target's own view of its load.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadReport {
    in_flight: u32,
    healthy: bool,
}

/// The routes under `/pollenlever/v1/target`.
pub(super) fn target_routes() -> Vec<Route> {
    rocket::routes![announce, load, leave]
}

#[rocket::post("/announce", data = "<announcement>")]
async fn announce(announcement: Json<Announcement>, state: &State<Arc<EntryState>>) -> Status {
    let Announcement { service, slots, cold } = announcement.into_inner();
    log::info!("target announced service={service} slots={slots:?} cold={cold}");
    state.target.notice(TargetNotice::Announce { service: service.into(), slots, cold }).await;
    Status::NoContent
}

#[rocket::post("/load", data = "<report>")]
async fn load(report: Json<LoadReport>, state: &State<Arc<EntryState>>) -> Status {
    let LoadReport { in_flight, healthy } = report.into_inner();
    state.target.notice(TargetNotice::Load { in_flight, healthy }).await;
    Status::NoContent
}

#[rocket::post("/leave")]
async fn leave(state: &State<Arc<EntryState>>) -> Status {
    log::info!("target is leaving");
    state.target.notice(TargetNotice::Leaving).await;
    Status::NoContent
}
