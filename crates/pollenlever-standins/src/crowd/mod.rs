//! Clients that do not behave, and what they make a process take.

mod client;
mod crowd;
mod process_usage;
mod reading;

pub use client::Client;
pub use crowd::Crowd;
pub use process_usage::ProcessUsage;
pub use reading::Reading;
