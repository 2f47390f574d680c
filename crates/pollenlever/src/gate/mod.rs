//! HTTP requests to the target, the back end process beside this node. The gate is the node that
//! admits requests to its target.

mod headers;
mod runs;
mod target_client;
mod target_watch;

pub use headers::is_end_to_end;
pub use runs::{GateCommand, run_gate};
pub use target_client::{TargetClient, TargetRequest};
pub use target_watch::TargetWatch;
