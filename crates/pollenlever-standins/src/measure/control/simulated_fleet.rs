use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use pollenlever::bounds::{ConnectionLimiter, MessageMemory};
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
use pollenlever_core::memory::ConnectionLimits;
use pollenlever_core::message::PeerRequest;
use pollenlever_core::policy::{Policy, TargetNotice};
use pollenlever_core::rollout::{
    ConfigMessage, Rollout, RolloutAction, RolloutEvent, RolloutSettings,
};

use super::table_cost::member;
use crate::measure::MeasurementError;

/// Incarnation of every simulated member; the same for all, so that one server can answer for them.
const SIMULATED_INCARNATION: Incarnation = 0x5eed;
/// Number of simulated members that send heartbeats to the real node: one for each ring of the
/// overlay.
const HEARTBEAT_SENDERS: usize = 3;
/// Time between two heartbeats of a simulated member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest request body that the simulated members accept, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Simulated members of a fleet of full size: each has a loopback address of its own, and one
/// server that listens on all of them answers with one member table.
pub(super) struct SimulatedFleet {
    port: u16,
    runtime: tokio::runtime::Runtime,
}

/// Control plane that all simulated members share.
struct SimulatedControl {
    members: Mutex<Membership>,
    rollout: Mutex<Rollout>,
    start: Instant,
}

impl SimulatedFleet {
    /// Starts `count` simulated members on a port, with these configurations in force.
    pub(super) fn start(
        count: usize,
        port: u16,
        configs: Vec<ServiceConfig>,
    ) -> Result<SimulatedFleet, MeasurementError> {
        let mut members =
            Membership::new(MembershipSettings::default(), simulated_member(0, port), 1);
        let changes = (1..count).map(|it| Change::alive(simulated_member(it, port))).collect();
        let from = simulated_member(1, port).node;
        let event = MembershipEvent::Message(from, GossipMessage::push(changes));
        members.handle(Duration::ZERO, event, &mut Vec::new());
        let mut rollout = Rollout::new(RolloutSettings::default(), 1);
        let message = ConfigMessage { configs, ..ConfigMessage::default() };
        rollout.handle(Duration::ZERO, RolloutEvent::Message(from, message), &mut Vec::new());
        let control = SimulatedControl {
            members: Mutex::new(members),
            rollout: Mutex::new(rollout),
            start: Instant::now(),
        };
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, port));
        let listener = runtime.block_on(tokio::net::TcpListener::bind(any))?;
        let server = PeerServer {
            local_node: simulated_member(0, port).node,
            max_body_bytes: MAX_BODY_BYTES,
            memory: MessageMemory::default(),
            connections: ConnectionLimiter::new("peers", ConnectionLimits::default()),
            in_flight_work: InFlightCounter::default(),
            versions: Arc::default(),
            handler: Arc::new(PeerRequestHandler {
                events: ring(1).0,
                streams: Arc::new(PendingReplies::default()),
                control: Arc::new(control),
            }),
        };
        runtime.spawn(Arc::new(server).serve(listener));
        Ok(SimulatedFleet { port, runtime })
    }

    /// Peer address of a simulated member, for a node to join through.
    pub(super) fn join_address(&self) -> SocketAddr {
        simulated_member(0, self.port).node.addr
    }

    /// Sends heartbeats to a node, as its predecessors in the rings of the overlay would do.
    pub(super) fn send_heartbeats_to(&self, node: NodeId) {
        for index in 1..=HEARTBEAT_SENDERS {
            let me = simulated_member(index, self.port).node;
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

impl ControlHandle for SimulatedControl {
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

/// The `index`th simulated member, with a loopback address.
fn simulated_member(index: usize, port: u16) -> Member {
    let ip = Ipv4Addr::new(127, 64 + (index >> 16) as u8, (index >> 8) as u8, index as u8);
    let node = NodeId { addr: SocketAddr::from((ip, port)), incarnation: SIMULATED_INCARNATION };
    Member { node, entry: SocketAddr::from((ip, 7000)), ..member(index) }
}
