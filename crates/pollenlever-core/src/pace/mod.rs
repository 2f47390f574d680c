//! Pace of a target (server process) that has just started or recovered: the concurrency that it may
//! be offered until its responses show that it can do its full work.
//!
//! The limit doubles per round of responses while they take about as long as at lower concurrency, is
//! lowered while they take clearly longer, held in between, and halved when the target rejects
//! requests.

use std::time::Duration;

mod class_times;
mod ended_run;
mod own_time;
mod pace_history;
mod round;
mod start_pace;

pub use ended_run::EndedRun;
pub use own_time::OwnTime;
pub use pace_history::PaceHistory;
pub use round::RoundSummary;
pub use start_pace::StartPace;

/// Wait at a gate after which a request runs above the pace, up to the slots: its owner would have sent it
/// to a target with room if there were one.
pub const OVERFLOW_WAIT: Duration = Duration::from_millis(25);
