//! Sockets.

mod early_answer_io;
mod hangup_io;
mod http_connection;
mod linger;
mod observed_io;
mod read_observer;
mod send_queue;

pub(crate) use early_answer_io::{EarlyAnswerIo, TakesNothing};
pub(crate) use hangup_io::{HangupIo, MAX_READ_AHEAD_BYTES};
pub(crate) use http_connection::HttpConnection;
pub(crate) use linger::wait_until_taken;
pub(crate) use observed_io::ObservedIo;
pub(crate) use read_observer::{ReadObserver, SharedReadObserver};
pub(crate) use send_queue::unsent_bytes;
