//! Messages between nodes. Bodies are sent separately as stream data.

mod attempt_head;
mod forward_head;
mod gate_load;
mod peer_reply;
mod peer_request;
mod seal_reply;
mod suspicion;

pub use attempt_head::AttemptHead;
pub use forward_head::ForwardHead;
pub use gate_load::GateLoad;
pub use peer_reply::PeerReply;
pub use peer_request::PeerRequest;
pub use seal_reply::SealReply;
pub use suspicion::Suspicion;

/// Version of the protocol between nodes; peers with a different version are refused.
pub const PROTOCOL_VERSION: u16 = 9;
