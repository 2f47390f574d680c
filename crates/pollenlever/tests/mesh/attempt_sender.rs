use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use pollenlever::peer::{PeerClient, PeerOptions};
use pollenlever_core::config::Importance;
use pollenlever_core::id::{AttemptId, NodeId};
use pollenlever_core::mesh::{AttemptOutcome, Lineage, MeshAttempt, MeshReply, MeshRequest};
use pollenlever_core::message::{PeerReply, PeerRequest};
use tokio::runtime::Handle;

use super::test_mesh::TestNode;

/// Time within which the target has to answer; no test waits for it.
const TIME_LEFT: Duration = Duration::from_secs(300);

/// Sends attempts to one gate, and seals them, as the owner of requests does.
#[derive(Clone)]
pub(crate) struct AttemptSender {
    client: PeerClient,
    me: NodeId,
    gate: NodeId,
}

impl AttemptSender {
    pub(crate) fn new(gate: &TestNode) -> AttemptSender {
        let ip = IpAddr::from([127, 0, 0, 3]);
        let me = NodeId { addr: SocketAddr::new(ip, 9), incarnation: 7 };
        let options = PeerOptions { local_ip: Some(ip), ..PeerOptions::default() };
        let client = PeerClient::new(me, options, Handle::current());
        AttemptSender { client, me, gate: gate.node.shared().member().node }
    }

    /// Sends attempt number `seq`, a request to `/charge/` that may run once. Returns its outcome.
    pub(crate) async fn send(&self, seq: u64) -> AttemptOutcome {
        let id = AttemptId { sender: self.me, seq };
        let head = MeshAttempt {
            id,
            request_id: format!("r{seq}").as_str().into(),
            service: "charge".into(),
            caller: "read".into(),
            method: "POST".to_owned(),
            path: "/charge/1".to_owned(),
            headers: vec![("pollenlever-request-id".to_owned(), format!("r{seq}").into_bytes())],
            lineage: Lineage::root(format!("{id}").parse().unwrap(), Importance::High),
            workspace: None,
            is_idempotent: false,
            time_left: TIME_LEFT,
            max_wait: TIME_LEFT,
            remembered: None,
        };
        match self.exchange(MeshRequest::Attempt(Box::new(head))).await {
            MeshReply::Attempt(reply) => reply.outcome,
            other => panic!("not a reply to an attempt: {other:?}"),
        }
    }

    /// Seals attempt number `seq`. Returns whether the gate confirms that it never runs.
    pub(crate) async fn seal(&self, seq: u64) -> bool {
        match self.exchange(MeshRequest::Seal(AttemptId { sender: self.me, seq })).await {
            MeshReply::Sealed(is_sealed) => is_sealed,
            other => panic!("not a reply to a seal: {other:?}"),
        }
    }

    async fn exchange(&self, req: MeshRequest) -> MeshReply {
        match self.client.exchange(self.gate, PeerRequest::Mesh(req), Bytes::new()).await {
            Ok((PeerReply::Mesh(reply), _)) => reply,
            other => panic!("no reply of the mesh: {other:?}"),
        }
    }
}
