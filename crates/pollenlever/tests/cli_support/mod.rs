//! Fakes of a node and of the store for tests of the command line.

mod fake_http;
mod fake_node;
mod fake_store;
mod program;

pub(crate) use fake_http::{FakeHttp, Reply, Request};
pub(crate) use fake_node::FakeNode;
pub(crate) use fake_store::FakeStore;
pub(crate) use program::{Output, pollenlever, pollenleverd};
