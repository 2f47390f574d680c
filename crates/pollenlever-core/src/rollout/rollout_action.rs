use std::sync::Arc;
use std::time::Duration;

use super::ConfigMessage;
use crate::config::ServiceConfig;
use crate::id::{ExchangeId, NodeId};

/// What the driver carries out for [`Rollout`](super::Rollout).
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Send a message; report its reply or failure under the same number.
    Send {
        /// Local number of the exchange.
        exchange: ExchangeId,
        /// The peer.
        to: NodeId,
        /// The message.
        message: ConfigMessage,
        /// Longest wait for the reply.
        timeout: Duration,
    },
    /// Reply to the message at hand.
    Reply(ConfigMessage),
    /// The configuration is in force on this node from now on.
    InForce(Arc<ServiceConfig>),
    /// List all services in the store.
    List,
    /// Wait for changes in the store after a revision.
    Watch {
        /// The revision.
        since: u64,
        /// Longest wait.
        timeout: Duration,
    },
}
