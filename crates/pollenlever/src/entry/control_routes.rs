use std::sync::Arc;

use rocket::State;
use rocket::http::ContentType;
use rocket::response::content::{RawJson, RawText};
use rocket::route::Route;
use rocket::serde::json::Json;

use super::EntryState;
use crate::control::ControlStatus;

/// Content type of the text format of metrics.
const METRICS_TYPE: (&str, &str) = ("application", "openmetrics-text");

/// The routes for operators.
pub(super) fn control_routes() -> Vec<Route> {
    rocket::routes![status, burn, metrics]
}

/// The node's view; without members it stays small however many there are.
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
