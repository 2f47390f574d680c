//! Identifiers. An id that one node is responsible for contains that node's address and incarnation
//! (start of its process).

mod attempt_id;
mod chain_id;
mod node_id;
mod parse_id_error;
mod request_key;

pub use attempt_id::AttemptId;
pub use chain_id::ChainId;
pub use node_id::NodeId;
pub use parse_id_error::ParseIdError;
pub use request_key::RequestKey;

use std::sync::Arc;

/// Random number that a node draws at each start, so that it identifies one run of its process.
pub type Incarnation = u64;
/// Matches any incarnation at an address; only gossip and configuration may be sent to it.
pub const ANY_INCARNATION: Incarnation = 0;
/// Name of a declared service.
pub type ServiceName = Arc<str>;
/// Name of a declared kind of request.
pub type KindName = Arc<str>;
/// Name of the workspace on whose behalf a call is made.
pub type WorkspaceName = Arc<str>;
/// Name of a node, unique within the deployment. A restarted node keeps it.
pub type NodeName = Arc<str>;
/// Name of a region.
pub type RegionName = Arc<str>;
/// Name of an availability zone.
pub type ZoneName = Arc<str>;
/// Local number of a call that a caller made to this node.
pub type CallId = u64;
/// Local number of a request that this node sent to a peer.
pub type ExchangeId = u64;
/// Local number of a request that a peer sent to this node.
pub type StreamId = u64;
/// Local number of a request that this node handed to its target.
pub type RunId = u64;
/// Hash of workspace, method, path and body.
pub type ContentDigest = u64;
