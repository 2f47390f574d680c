//! Requests that run at most once: keys, homes, seals and handover.

mod fate;
mod handed_record;
mod handover;
mod home;
mod home_record;
mod home_table;
mod key_mint;
mod seal_table;

pub use handed_record::HandedRecord;
pub use handover::Handover;

pub(crate) use fate::Fate;
pub(crate) use home::Home;
pub(crate) use home_record::{HomeRecord, RecordState, Waiter};
pub(crate) use home_table::HomeTable;
pub(crate) use key_mint::KeyMint;
pub(crate) use seal_table::SealTable;

#[cfg(test)]
mod tests;
