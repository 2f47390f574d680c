//! The policy of a node: entry, origin, home and gate in one state machine.
//!
//! The entry takes calls from the callers beside the node. The origin, where a chain of calls began,
//! grants its retries. The home of a request key has the request run at most once. The gate admits
//! attempts to the target beside the node.

mod attempts;
mod calls;
mod chain_position;
mod context;
mod delivery;
mod environment;
mod events;
mod exchange_purpose;
mod forwards;
mod gate_attempt;
mod gates;
mod grants;
mod handovers;
mod homes;
mod node;
mod node_settings;
mod open_call;
mod outgoing_handover;
mod request;
mod runs;
mod seals;
mod suspects;
mod timers;

pub use node::Node;
pub use node_settings::NodeSettings;
