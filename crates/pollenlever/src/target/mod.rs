//! Connections to the target, the server process beside a node, for both daemons.
//!
//! A request comes in with all of its body. What goes out is the head of the answer and the connection on
//! which its body is read, or why there is none. Only an answer that is whole by its length, its last chunk
//! or an orderly end of its connection is read without an error. What an answer means is up to the caller of this
//! module.

mod answer_body;
mod connection;
mod connection_pool;
mod idle_limit;

pub(crate) use answer_body::BodyError;
pub(crate) use connection::TargetConnection;
pub(crate) use connection_pool::{ConnectionPool, PoolSettings, ReuseRule, SendError};
