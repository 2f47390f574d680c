//! Requests that run at most once.
//!
//! A request key names the request and its home, the node that keeps the record of the request and
//! its answer. A seal bars an attempt from ever starting. A home that leaves hands its records over
//! to a successor.

mod attempt_state;
mod handover;
mod handover_record;
mod home;
mod home_record;
mod home_table;
mod key_mint;
mod seal_table;

pub use handover::Handover;
pub use handover_record::HandoverRecord;

pub(crate) use attempt_state::AttemptState;
pub(crate) use home::Home;
pub(crate) use home_record::{HomeRecord, RecordState, Waiter};
pub(crate) use home_table::HomeTable;
pub(crate) use key_mint::KeyMint;
pub(crate) use seal_table::SealTable;

#[cfg(test)]
mod tests;
