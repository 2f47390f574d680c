use std::sync::Arc;
use std::time::Duration;

use super::ConfigMessage;
use crate::config::ServiceConfig;
use crate::id::{ExchangeId, NodeId};

/// Action that the driver carries out for [`Rollout`](super::Rollout).
#[derive(Debug, Clone, PartialEq)]
pub enum RolloutAction {
    /// Send a message; its reply or failure is reported with the same exchange id.
    Send {
        /// Id of the exchange, unique within this node.
        exchange: ExchangeId,
        /// The peer.
        to: NodeId,
        /// The message.
        message: ConfigMessage,
        /// Timeout for the reply.
        timeout: Duration,
    },
    /// Reply to the message that is being handled.
    Reply(ConfigMessage),
    /// The configuration is in force on this node from now on.
    InForce(Arc<ServiceConfig>),
    /// List all services in the store.
    List,
    /// Wait for changes in the store that are later than a revision.
    Watch {
        /// The revision.
        since: u64,
        /// Maximum time to wait.
        timeout: Duration,
    },
}
