//! Requests that run at most once: keys, homes, seals and handover.

mod fate;
mod handover;
mod home_record;
mod home_table;
mod key_mint;
mod seal_table;

pub use handover::Handover;

pub(crate) use fate::Fate;
pub(crate) use home_record::{HomeRecord, RecordState, Waiter};
pub(crate) use home_table::HomeTable;
pub(crate) use key_mint::KeyMint;
pub(crate) use seal_table::SealTable;

#[cfg(test)]
mod tests;
