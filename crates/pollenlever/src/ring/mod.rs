//! Bounded rings between threads.

mod reader;
mod ring;

pub use reader::Reader;
pub use ring::{Ring, RingFull, ring};
