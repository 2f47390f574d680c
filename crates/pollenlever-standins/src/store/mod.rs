//! In-memory stand-in for the platform's object API, with injectable faults.
//!
//! The protocol is specified in `docs/PLATFORM.md`.

mod counters;
mod faults;
mod lost_answer;
mod object;
mod rate_limit;
mod routes;
mod running_store;
mod shared;
mod state;
mod store;
mod store_settings;

pub use counters::Counters;
pub use faults::Faults;
pub use object::{Change, ObjectList, StoredObject};
pub use running_store::RunningStore;
pub use store::{Store, StoreError};
pub use store_settings::StoreSettings;
