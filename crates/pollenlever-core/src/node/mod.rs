//! The policy of a node: entry, origin, home and gate in one state machine.

mod attempts;
mod calls;
mod cx;
mod delivery;
mod events;
mod exchange;
mod forwards;
mod gate_attempt;
mod gates;
mod grants;
mod handovers;
mod homes;
mod lineage;
mod node;
mod node_settings;
mod open_call;
mod outgoing;
mod request;
mod runs;
mod seals;
mod surroundings;
mod suspects;
mod timers;

pub use node::Node;
pub use node_settings::NodeSettings;
