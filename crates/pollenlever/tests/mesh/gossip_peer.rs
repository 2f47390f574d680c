use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use pollenlever::bounds::{ConnectionLimiter, MessageMemory};
use pollenlever::node::InFlightCounter;
use pollenlever::peer::{PeerClient, PeerHandler, PeerOptions, PeerReplyFuture, PeerServer};
use pollenlever_core::id::NodeId;
use pollenlever_core::membership::GossipMessage;
use pollenlever_core::memory::ConnectionLimits;
use pollenlever_core::message::{PeerReply, PeerRequest};
use tokio::net::TcpListener;
use tokio::runtime::Handle;

const MAX_BODY_BYTES: usize = 1 << 20;

/// A peer that replies to gossip and records who sent it.
pub(crate) struct GossipPeer {
    client: PeerClient,
    contacts: Arc<Mutex<Vec<NodeId>>>,
}

struct Recorder(Arc<Mutex<Vec<NodeId>>>);

impl PeerHandler for Recorder {
    fn handle(&self, from: NodeId, req: PeerRequest, _body: Bytes) -> PeerReplyFuture {
        if let PeerRequest::Gossip(_) = req {
            self.0.lock().unwrap().push(from);
        }
        let reply = PeerReply::Gossip(GossipMessage::default());
        Box::pin(async move { Some((reply, Bytes::new())) })
    }
}

impl GossipPeer {
    pub(crate) async fn start() -> GossipPeer {
        let ip = IpAddr::from([127, 0, 0, 1]);
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await.unwrap();
        let me = NodeId { addr: listener.local_addr().unwrap(), incarnation: 1 };
        let contacts = Arc::new(Mutex::new(Vec::new()));
        let server = PeerServer {
            local_node: me,
            max_body_bytes: MAX_BODY_BYTES,
            memory: MessageMemory::default(),
            connections: ConnectionLimiter::new("peers", ConnectionLimits::default()),
            handler: Arc::new(Recorder(Arc::clone(&contacts))),
            in_flight_work: InFlightCounter::default(),
            versions: Arc::default(),
        };
        tokio::spawn(Arc::new(server).serve(listener));
        let options = PeerOptions { local_ip: Some(ip), max_body_bytes: MAX_BODY_BYTES };
        GossipPeer { client: PeerClient::new(me, options, Handle::current()), contacts }
    }

    /// Sends a heartbeat, whatever comes back.
    pub(crate) async fn send_heartbeat(&self, to: NodeId) {
        let req = PeerRequest::Gossip(GossipMessage::default());
        let _ = self.client.exchange(to, req, Bytes::new()).await;
    }

    /// Nodes that sent gossip to this peer.
    pub(crate) fn contacts(&self) -> Vec<NodeId> {
        self.contacts.lock().unwrap().clone()
    }
}
