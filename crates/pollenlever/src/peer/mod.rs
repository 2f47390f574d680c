//! Streams between nodes: `h2` with `bincode` heads and bodies as data.

mod peer_sender;

pub use peer_sender::{BoxPeerSender, PeerError, PeerFuture, PeerSender};
