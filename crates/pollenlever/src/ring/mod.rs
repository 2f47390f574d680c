//! Bounded rings between threads.

mod ring;

pub use ring::{Ring, RingFull, ring};
