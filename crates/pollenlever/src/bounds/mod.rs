//! Bounds for what a process holds for callers, targets and other nodes: the memory of messages, and the
//! connections of each listening address. What decides is in [`pollenlever_core::memory`].

mod bounds_metrics;
mod connection_limiter;
mod connection_slot;
mod counted_body;
mod message_memory;
mod process_bounds;
mod process_limits;
mod reservation;

pub(crate) use bounds_metrics::BoundsMetrics;
pub use connection_limiter::ConnectionLimiter;
pub use connection_slot::{ConnectionSlot, MessageHold, RequestGuard};
pub use counted_body::CountedBody;
pub use message_memory::{MemoryError, MessageMemory};
pub use process_bounds::ProcessBounds;
pub use process_limits::ProcessLimits;
pub use reservation::Reservation;
