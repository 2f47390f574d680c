//! Metrics, logging, and the windowed call counts behind the burn report, which shows how fast each
//! request kind uses up the error budget of its objective.

mod call_metrics;
mod kind_burn;
mod kind_objective;
mod kind_series;
mod labels;
mod logging;
mod multi_window_counts;
mod node_burn;
mod node_telemetry;
mod reason;
mod series_table;
mod telemetry;
mod verdict;
mod verdict_counts;
mod window_counts;
mod window_ring;

pub use kind_burn::KindBurn;
pub use kind_objective::KindObjective;
pub use logging::{LogWriter, init_logging, init_stdout_logging};
pub use multi_window_counts::MultiWindowCounts;
pub use node_burn::NodeBurn;
pub use node_telemetry::NodeTelemetry;
pub use reason::Reason;
pub use telemetry::{SharedTelemetry, Telemetry};
pub use verdict::Verdict;
pub use verdict_counts::VerdictCounts;
pub use window_counts::WindowCounts;
pub use window_ring::WindowRing;
