//! The daemon: threads and the rings between them.

mod clock;
mod decision;
mod entry_thread;
mod local_loop;
mod network_thread;
mod node;
mod node_error;
mod open_work;
mod peer_thread;
mod policy;
mod policy_handler;
mod report;
mod shared;
mod signals;
mod target_thread;
mod threads;
mod waiters;

pub use clock::Clock;
pub use decision::{CallReply, Decision};
pub use local_loop::LocalLoop;
pub use node::Node;
pub use node_error::NodeError;
pub use open_work::{OpenWork, OpenWorkGuard};
pub use policy_handler::PolicyHandler;
pub use report::report;
pub use signals::wait_for_signal;
pub use waiters::Waiters;
