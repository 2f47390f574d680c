//! Decision logic of pollenlever as state machines without I/O.
//!
//! Every state machine takes `(now, event)` and appends actions. Sockets, threads, clocks and
//! sources of randomness belong to the driver, the code around a state machine that carries out
//! its actions. Time is passed in as [`Timestamp`], randomness as a seed.

pub mod admission;
pub mod answer;
pub mod chain;
pub mod config;
pub mod id;
pub mod membership;
pub mod memory;
pub mod mesh;
pub mod message;
pub mod naive;
pub mod node;
pub mod once;
pub mod pace;
pub mod policy;
pub mod quota;
pub mod rollout;
pub mod routing;
mod suspicion;
pub mod workspace;

/// Monotonic time since the driver started; the only time that the decision logic uses.
pub type Timestamp = std::time::Duration;
