//! Choice of a target (back-end process) for an attempt, a single try to run a request.

mod byte_budget;
mod choice;
mod choice_kind;
mod peer;
mod probe_timer;
mod report_accuracy;
mod round_robin;
mod route_request;
mod routing;
mod routing_settings;
mod service_peers;
mod tier;
mod two_choices;

pub use choice_kind::ChoiceKind;
pub use round_robin::RoundRobin;
pub use route_request::{NoRoute, RouteRequest};
pub use routing::{BoxRouting, Routing};
pub use routing_settings::RoutingSettings;
pub use two_choices::TwoChoices;
