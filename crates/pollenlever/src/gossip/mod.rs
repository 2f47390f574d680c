//! Membership by gossip: runs the protocol and finds the first peers through the store.

mod gossip_driver;
mod member_sink;
mod seed_publisher;
mod shared_machine;

pub(crate) use gossip_driver::{GossipDriver, reply_to_gossip};
pub(crate) use member_sink::MemberSink;
pub(crate) use seed_publisher::SeedPublisher;
pub(crate) use shared_machine::SharedMachine;

use std::sync::Arc;

use pollenlever_core::membership::Membership;

/// The membership protocol, shared by those who report events to it and its driver.
pub(crate) type SharedMembership = Arc<SharedMachine<Membership>>;
