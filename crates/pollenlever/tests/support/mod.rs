//! A node as a process, a target as a thread and a peer as a client.
#![allow(dead_code)] // each test file uses a part

mod stub_target;
mod test_node;
mod test_peer;

pub(crate) use stub_target::StubTarget;
pub(crate) use test_node::TestNode;
pub(crate) use test_peer::TestPeer;
