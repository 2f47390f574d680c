//! Requests that run at most once: keys, homes, seals and handover.

mod handover;

pub use handover::Handover;
