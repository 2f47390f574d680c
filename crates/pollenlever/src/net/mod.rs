//! Sockets.

mod observed_io;
mod read_observer;
mod send_queue;

pub(crate) use observed_io::ObservedIo;
pub(crate) use read_observer::{ReadObserver, SharedReadObserver};
pub(crate) use send_queue::unsent_bytes;
