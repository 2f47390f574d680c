//! The threads of the node process and the bounded rings (queues) between them.
//!
//! The decision thread owns the policy. The entry thread serves HTTP, the peer thread talks to
//! other nodes and the target thread sends requests to the target, the back end process beside
//! this node.

mod build_policy;
mod clock;
mod decision_thread;
mod entry_thread;
mod loopback_exchanges;
mod network_thread;
mod node;
mod node_error;
mod open_work;
mod peer_thread;
mod policy_handler;
mod report;
mod shared_state;
mod spawn_thread;
mod target_thread;
mod wait_for_signal;
mod waiters;

pub use clock::Clock;
pub use decision_thread::{CallReply, DecisionThread};
pub use loopback_exchanges::LoopbackExchanges;
pub use node::Node;
pub use node_error::NodeError;
pub use open_work::{OpenWork, OpenWorkGuard};
pub use policy_handler::PolicyHandler;
pub use report::report;
pub use wait_for_signal::wait_for_signal;
pub use waiters::Waiters;
