//! Memory and connections that a node gives to others: bodies of requests, answers, buffers.
//!
//! Callers, targets and other nodes decide how much they send and how fast they read. What a node holds
//! for them is counted here, so that the sum stays within the memory of its process. What does not fit
//! waits and is not read meanwhile; where others wait, connections that do not move are closed.

mod connection_limits;
mod connection_state;
mod connection_table;
mod memory_ledger;
mod memory_shares;
mod message_lane;

pub use connection_limits::ConnectionLimits;
pub use connection_state::ConnectionState;
pub use connection_table::{BufferChange, ConnectionTable, Opening};
pub use memory_ledger::{Grant, MemoryLedger};
pub use memory_shares::MemoryShares;
pub use message_lane::{MessageKind, MessageLane, MessageSize, SMALL_MESSAGE_BYTES};

/// Number of a connection, unique within its table.
pub type ConnectionId = u64;

/// Number of a message or a part of one that holds memory or waits for it, unique within a ledger.
pub type HoldId = u64;
