use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenlever::control::{ControlHandle, ControlMessage, ControlReply, ControlStatus};
use pollenlever::node::{InFlightCounter, PeerRequestHandler, PendingReplies};
use pollenlever::peer::{PeerClient, PeerOptions, PeerSender, PeerServer};
use pollenlever::ring::ring;
use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::{Incarnation, NodeId};
use pollenlever_core::membership::{
    Change, GossipMessage, Member, Membership, MembershipAction, MembershipEvent,
    MembershipSettings,
};
use pollenlever_core::message::PeerRequest;
use pollenlever_core::policy::{Policy, TargetNotice};
use pollenlever_core::rollout::{
    ConfigMessage, Rollout, RolloutAction, RolloutEvent, RolloutSettings,
};

use super::table_cost::member;
use crate::measure::MeasureError;

/// Incarnation of every member of the crowd, so that one server can stand for all of them.
const INCARNATION: Incarnation = 0x5eed;
/// Members that send heartbeats to a node: one for each ring.
const LINKED_BY: usize = 3;
/// Time between their heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest body that the crowd takes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Members of a full fleet that exist only as addresses: one server on all loopback addresses
/// answers for all of them.
pub(super) struct Crowd {
    port: u16,
    runtime: tokio::runtime::Runtime,
}

struct CrowdControl {
    members: Mutex<Membership>,
    rollout: Mutex<Rollout>,
    start: Instant,
}

impl Crowd {
    /// Starts a crowd of `count` members on a port, on which these configurations are in force.
    pub(super) fn start(
        count: usize,
        port: u16,
        configs: Vec<ServiceConfig>,
    ) -> Result<Crowd, MeasureError> {
        let mut members = Membership::new(MembershipSettings::default(), crowd_member(0, port), 1);
        let changes = (1..count).map(|it| Change::alive(crowd_member(it, port))).collect();
        let from = crowd_member(1, port).node;
        let event = MembershipEvent::Message(from, GossipMessage::push(changes));
        members.handle(Duration::ZERO, event, &mut Vec::new());
        let mut rollout = Rollout::new(RolloutSettings::default(), 1);
        let message = ConfigMessage { configs, ..ConfigMessage::default() };
        rollout.handle(Duration::ZERO, RolloutEvent::Message(from, message), &mut Vec::new());
        let control = CrowdControl {
            members: Mutex::new(members),
            rollout: Mutex::new(rollout),
            start: Instant::now(),
        };
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, port));
        let listener = runtime.block_on(tokio::net::TcpListener::bind(any))?;
        let server = PeerServer {
            local_node: crowd_member(0, port).node,
            max_body_bytes: MAX_BODY_BYTES,
            in_flight_work: InFlightCounter::default(),
            handler: Arc::new(PeerRequestHandler {
                events: ring(1).0,
                streams: Arc::new(PendingReplies::default()),
                control: Arc::new(control),
            }),
        };
        runtime.spawn(Arc::new(server).serve(listener));
        Ok(Crowd { port, runtime })
    }

    /// Address of a member, to join through.
    pub(super) fn seed(&self) -> SocketAddr {
        crowd_member(0, self.port).node.addr
    }

    /// Sends heartbeats to a node as its predecessors in the rings do.
    pub(super) fn link_to(&self, node: NodeId) {
        for index in 1..=LINKED_BY {
            let me = crowd_member(index, self.port).node;
            let options = PeerOptions { local_ip: Some(me.addr.ip()), ..PeerOptions::default() };
            let client = PeerClient::new(me, options, self.runtime.handle().clone());
            self.runtime.spawn(async move {
                loop {
                    let heartbeat = PeerRequest::Gossip(GossipMessage::default());
                    let _ = client.send(node, heartbeat, Bytes::new(), HEARTBEAT_INTERVAL).await;
                    tokio::time::sleep(HEARTBEAT_INTERVAL).await;
                }
            });
        }
    }
}

impl ControlHandle for CrowdControl {
    fn handle_message(&self, from: NodeId, input: ControlMessage) -> ControlReply {
        let now = self.start.elapsed();
        match input {
            ControlMessage::Gossip(message) => {
                let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
                let mut actions = Vec::new();
                members.handle(now, MembershipEvent::Message(from, message), &mut actions);
                let reply = actions.into_iter().find_map(|it| match it {
                    MembershipAction::Reply(reply) => Some(reply),
                    _ => None,
                });
                ControlMessage::Gossip(reply.unwrap_or_default())
            }
            ControlMessage::Config(message) => {
                let mut rollout = self.rollout.lock().unwrap_or_else(PoisonError::into_inner);
                let mut actions = Vec::new();
                rollout.handle(now, RolloutEvent::Message(from, message), &mut actions);
                let reply = actions.into_iter().find_map(|it| match it {
                    RolloutAction::Reply(reply) => Some(reply),
                    _ => None,
                });
                ControlMessage::Config(reply.unwrap_or_default())
            }
        }
    }

    fn handle_target_notice(&self, _notice: TargetNotice) {}

    fn announce_leave(&self) {}

    fn status(&self) -> ControlStatus {
        ControlStatus::default()
    }
}

/// The `index`th member, on a loopback address.
fn crowd_member(index: usize, port: u16) -> Member {
    let ip = Ipv4Addr::new(127, 64 + (index >> 16) as u8, (index >> 8) as u8, index as u8);
    let node = NodeId { addr: SocketAddr::from((ip, port)), incarnation: INCARNATION };
    Member { node, entry: SocketAddr::from((ip, 7000)), ..member(index) }
}
