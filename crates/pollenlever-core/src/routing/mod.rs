//! Choice of a target for an attempt.

mod route_request;
mod routing;

pub use route_request::{NoRoute, RouteRequest};
pub use routing::{BoxRouting, Routing};
