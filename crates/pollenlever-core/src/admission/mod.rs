//! Admission at the gate, the node beside the target: concurrency limit, queue order and load
//! shedding.

mod admission;
mod admission_settings;
mod admitted_shares;
mod chain_hash;
mod class;
mod class_limits;
mod class_queue;
mod concurrency_limit;
mod decaying_sum;
mod depth_shares;
mod failure_limit;
mod fifo_admission;
mod gradient_limit;
mod lateness_limits;
mod limit;
mod limit_kind;
mod order_kind;
mod priority_admission;
mod queue;
mod rate_limiter;
mod recent_shed;
mod saturation;
mod service_times;
mod shed_level;
mod ticket;
mod waiting;
mod workspace_usage;

pub use admission::{Admission, BoxAdmission};
pub use admission_settings::AdmissionSettings;
pub use chain_hash::{chain_fraction, chain_hash, is_chain_admitted};
pub use concurrency_limit::ConcurrencyLimit;
pub(crate) use decaying_sum::DecayingSum;
pub use failure_limit::FailureLimit;
pub use fifo_admission::FifoAdmission;
pub use gradient_limit::GradientLimit;
pub use limit::{BoxLimit, Limit};
pub use limit_kind::LimitKind;
pub use order_kind::OrderKind;
pub use priority_admission::PriorityAdmission;
pub use ticket::{RunOutcome, Ticket, Verdict};
