//! Requests and replies between nodes: one HTTP/2 stream each, with a `bincode` head and a body.
//!
//! Nodes of different builds run side by side. Each head begins with the protocol version in which it is
//! encoded. A node sends its own version first; a peer that cannot read it refuses the request and
//! shows its version in the refusal, which is then used for this connection. A reply has the version
//! of its request.

mod build_info;
mod close_reason;
mod codec;
mod connection;
mod exchanges;
mod liveness;
mod message_io;
mod message_versions;
mod peer_client;
mod peer_handler;
mod peer_options;
mod peer_sender;
mod peer_server;
mod peer_versions;
mod pool;
mod reply_frame;
mod request_frame;
mod serve_stream;
mod v4;
mod v5;
mod wire_error;

pub use build_info::own_build;
pub use codec::{
    OLDEST_PROTOCOL_VERSION, decode_reply, decode_request, encode_reply, encode_request,
};
pub use exchanges::{PeerCommand, run_exchanges};
pub use peer_client::PeerClient;
pub use peer_handler::{PeerHandler, PeerReplyFuture, SharedPeerHandler};
pub use peer_options::PeerOptions;
pub use peer_sender::{PeerError, PeerFuture, PeerSender, SharedPeerSender};
pub use peer_server::PeerServer;
pub use peer_versions::{PeerVersion, PeerVersions};
pub use reply_frame::ReplyFrame;
pub use request_frame::RequestFrame;
pub use wire_error::WireError;
