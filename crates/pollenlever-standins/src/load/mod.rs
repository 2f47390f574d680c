//! Open-loop callers that resend failed requests aggressively, and trials of a policy under their
//! load.

mod arrival;
mod caller;
mod load_report;
mod load_run;
mod load_spec;
mod load_trial;
mod phase;
mod record;
mod resend_policy;
mod work_report;

pub use arrival::Arrival;
pub use load_report::LoadReport;
pub use load_run::LoadRun;
pub use load_spec::{LoadSpec, WorkspaceShare};
pub use load_trial::{LoadTrial, LoadTrialError};
pub use phase::Phase;
pub use record::Record;
pub use resend_policy::ResendPolicy;
pub use work_report::WorkReport;
