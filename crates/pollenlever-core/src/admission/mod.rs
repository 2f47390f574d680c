//! Admission at the gate: concurrency limit, queue order, shedding.

mod admission;
mod ticket;

pub use admission::{Admission, BoxAdmission};
pub use ticket::{RunOutcome, Ticket, Verdict};
