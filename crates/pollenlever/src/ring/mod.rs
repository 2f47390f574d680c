//! Bounded queues between threads, called rings here and in the metrics.

mod ring;

pub use ring::{RingFull, RingSender, ring};
