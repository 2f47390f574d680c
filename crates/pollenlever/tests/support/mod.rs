//! Test support: a node as a child process, a stub target as a thread and a client that acts as a
//! peer.
#![allow(dead_code)] // each test crate uses only some of the helpers

mod stub_target;
mod test_node;
mod test_peer;

pub(crate) use stub_target::StubTarget;
pub(crate) use test_node::TestNode;
pub(crate) use test_peer::TestPeer;
