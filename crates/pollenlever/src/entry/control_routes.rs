use std::sync::Arc;

use rocket::State;
use rocket::http::ContentType;
use rocket::response::content::{RawJson, RawText};
use rocket::route::Route;
use rocket::serde::json::Json;

use super::EntryState;
use crate::control::ControlStatus;

/// Content type of the OpenMetrics text format.
const METRICS_TYPE: (&str, &str) = ("application", "openmetrics-text");

/// Routes for operators.
pub(super) fn control_routes() -> Vec<Route> {
    rocket::routes![status, burn, metrics]
}

/// Status of the node and its view of the cluster. `members=false` leaves the member list out,
/// which keeps the response small in a large cluster.
#[rocket::get("/pollenlever/v1/status?<members>")]
fn status(state: &State<Arc<EntryState>>, members: Option<bool>) -> Json<ControlStatus> {
    let status = state.control.status();
    if members.unwrap_or(true) {
        return Json(status);
    }
    Json(ControlStatus { members: Vec::new(), ..status })
}

#[rocket::get("/pollenlever/v1/burn")]
fn burn(state: &State<Arc<EntryState>>) -> RawJson<String> {
    RawJson(state.telemetry.burn_json())
}

#[rocket::get("/metrics")]
fn metrics(state: &State<Arc<EntryState>>) -> (ContentType, RawText<String>) {
    let (top, sub) = METRICS_TYPE;
    let content_type =
        ContentType::new(top, sub).with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    (content_type, RawText(state.telemetry.metrics_text()))
}
