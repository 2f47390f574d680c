//! Sockets.

mod observed_io;
mod read_observer;

pub(crate) use observed_io::ObservedIo;
pub(crate) use read_observer::{ReadObserver, SharedReadObserver};
