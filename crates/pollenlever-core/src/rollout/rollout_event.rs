use super::ConfigMessage;
use crate::config::ServiceConfig;
use crate::id::{ExchangeId, NodeId};

/// Event that the driver reports to [`Rollout`](super::Rollout).
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutEvent {
    /// A peer sent a message; exactly one `Reply` action answers it.
    Message(NodeId, ConfigMessage),
    /// A peer replied.
    Reply(ExchangeId, ConfigMessage),
    /// A message failed or got no reply in time.
    Failed(ExchangeId),
    /// The peers to which this node pushes, and whether it watches the store.
    Peers {
        /// Peers linked in the membership overlay.
        links: Vec<NodeId>,
        /// Whether this node is one of its region's watchers.
        watches: bool,
    },
    /// The store answered a list or a watch.
    Stored {
        /// Revision of the store up to which the answer is current.
        revision: u64,
        /// The configurations, with the versions of their objects.
        configs: Vec<ServiceConfig>,
    },
    /// A call to the store failed.
    StoreFailed,
    /// Time passed; timers may be due.
    Tick,
}
