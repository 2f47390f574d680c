//! Metrics, logs and windowed counts for the burn report.

mod call_metrics;
mod kind_burn;
mod kind_objective;
mod kind_series;
mod labels;
mod logging;
mod node_burn;
mod node_telemetry;
mod reason;
mod series_table;
mod tally;
mod telemetry;
mod verdict;
mod window_counts;
mod window_ring;
mod windowed_counts;

pub use kind_burn::KindBurn;
pub use kind_objective::KindObjective;
pub use logging::{init_logging, init_stdout_logging};
pub use node_burn::NodeBurn;
pub use node_telemetry::NodeTelemetry;
pub use reason::Reason;
pub use tally::Tally;
pub use telemetry::{SharedTelemetry, Telemetry};
pub use verdict::Verdict;
pub use window_counts::WindowCounts;
pub use window_ring::WindowRing;
pub use windowed_counts::WindowedCounts;
