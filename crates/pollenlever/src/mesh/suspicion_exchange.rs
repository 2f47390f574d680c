use std::net::SocketAddr;
use std::sync::Arc;

use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::MeshRequest;
use pollenlever_core::message::Suspicion;

use super::MeshShared;

/// Exchange of requests that are suspected of crashing targets.
impl MeshShared {
    /// Sends newly suspected requests to the other gates of this node's service, for as long as the
    /// node runs.
    pub(super) async fn broadcast_suspicions(self: Arc<MeshShared>) {
        loop {
            let suspicions = self.gate.next_crash_suspicions().await;
            let service = self.own_service();
            let gates: Vec<SocketAddr> = self.members.read(|it| {
                let serving = it.table().live().filter(|it| it.service.as_ref() == Some(&service));
                serving.map(|it| it.node.addr).filter(|it| *it != self.me.addr).collect()
            });
            for addr in gates {
                self.send_suspects(addr, suspicions.clone());
            }
        }
    }

    /// Sends a node the requests suspected of crashing targets. Called for nodes whose entry has
    /// changed, such as one that has just started.
    pub(super) fn send_suspicions(self: &Arc<MeshShared>, node: NodeId) {
        let suspicions = self.gate.known_suspects();
        if !suspicions.is_empty() {
            self.send_suspects(node.addr, suspicions);
        }
    }

    fn send_suspects(self: &Arc<MeshShared>, addr: SocketAddr, suspicions: Vec<Suspicion>) {
        let shared = Arc::clone(self);
        tokio::spawn(
            async move { shared.call_peer(addr, MeshRequest::Suspects(suspicions)).await },
        );
    }
}
