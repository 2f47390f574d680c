//! Streams between nodes: `h2` with `bincode` heads and bodies as data.

mod codec;
mod connection;
mod exchanges;
mod liveness;
mod message_io;
mod peer_client;
mod peer_handler;
mod peer_options;
mod peer_sender;
mod peer_server;
mod pool;
mod reply_frame;
mod request_frame;
mod serve_stream;
mod unusable;
mod watched_io;
mod wire_error;

pub use codec::{decode_reply, decode_request, encode_reply, encode_request};
pub use exchanges::{PeerCommand, run_exchanges};
pub use peer_client::PeerClient;
pub use peer_handler::{BoxPeerHandler, PeerHandler, PeerReplyFuture};
pub use peer_options::PeerOptions;
pub use peer_sender::{BoxPeerSender, PeerError, PeerFuture, PeerSender};
pub use peer_server::PeerServer;
pub use reply_frame::ReplyFrame;
pub use request_frame::RequestFrame;
pub use wire_error::WireError;
