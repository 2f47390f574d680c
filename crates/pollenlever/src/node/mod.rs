//! The threads of the node process and the bounded rings (queues) between them.
//!
//! The decision thread owns the policy. The entry thread serves HTTP, the peer thread talks to
//! other nodes and the target thread sends requests to the target, the back end process beside
//! this node.

mod build_policy;
mod clock;
mod decision_thread;
mod entry_thread;
mod in_flight_counter;
mod loopback_exchanges;
mod network_thread;
mod node;
mod node_start_error;
mod peer_request_handler;
mod peer_thread;
mod pending_replies;
mod push_event;
mod shared_state;
mod spawn_thread;
mod target_thread;
mod wait_for_signal;

pub use clock::Clock;
pub use decision_thread::{CallReply, DecisionThread};
pub use in_flight_counter::{InFlightCounter, InFlightGuard};
pub use loopback_exchanges::LoopbackExchanges;
pub use node::Node;
pub use node_start_error::NodeStartError;
pub use peer_request_handler::PeerRequestHandler;
pub use pending_replies::PendingReplies;
pub use push_event::push_event;
pub use wait_for_signal::wait_for_signal;
