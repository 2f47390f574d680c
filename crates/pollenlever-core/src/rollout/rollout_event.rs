use super::ConfigMessage;
use crate::config::ServiceConfig;
use crate::id::{ExchangeId, NodeId};

/// What the driver reports to [`Rollout`](super::Rollout).
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutEvent {
    /// A peer sent a message; answered with one `Reply` action.
    Message(NodeId, ConfigMessage),
    /// A peer replied.
    Reply(ExchangeId, ConfigMessage),
    /// A message got no reply.
    Failed(ExchangeId),
    /// The peers to push to, and whether this node is to watch the store.
    Peers {
        /// Links of the membership overlay.
        links: Vec<NodeId>,
        /// Whether this node is one of its region's watchers.
        watches: bool,
    },
    /// The store answered a list or a watch.
    Stored {
        /// Revision that the answer covers.
        revision: u64,
        /// The configurations, with the versions of their objects.
        configs: Vec<ServiceConfig>,
    },
    /// The store gave no answer.
    StoreFailed,
    /// Time passed.
    Tick,
}
