//! Stand-in for a target (the server process beside a node), with a run log and injectable faults.

mod answer_text;
mod downstream;
mod faults;
mod handler;
mod options;
mod reporter;
mod run_log;
mod server;
mod state;

pub use answer_text::{answer_line, is_complete_answer};
pub use downstream::DownstreamCall;
pub use faults::{Faults, ReportMode};
pub use options::TargetOptions;
pub use run_log::{RunLog, RunRecord};
pub use server::serve;
