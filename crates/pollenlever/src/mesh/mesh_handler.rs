use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{AttemptReply, MeshReply, MeshRequest};
use pollenlever_core::message::{PeerReply, PeerRequest};

use super::MeshShared;
use crate::peer::{PeerHandler, PeerReplyFuture};

/// Handles requests from other nodes of the mesh.
pub(super) struct MeshHandler {
    pub(super) shared: Arc<MeshShared>,
}

impl MeshHandler {
    async fn reply(shared: Arc<MeshShared>, req: MeshRequest, body: Bytes) -> (MeshReply, Bytes) {
        match req {
            MeshRequest::Attempt(head) => {
                let (reply, body) = shared.gate.attempt(head, body).await;
                let reply = AttemptReply { routes: shared.route_version(), ..reply };
                (MeshReply::Attempt(reply), body)
            }
            MeshRequest::Seal(attempt) => {
                (MeshReply::Sealed(shared.gate.seal(attempt)), Bytes::new())
            }
            MeshRequest::Announce(member, routes) => {
                let node = member.node;
                if shared.on_member_updated(member) {
                    shared.send_suspicions(node);
                }
                shared.fetch_routes_if_newer(node, routes);
                (MeshReply::Announced(shared.own_member(), shared.route_version()), Bytes::new())
            }
            MeshRequest::Suspects(suspicions) => {
                shared.gate.merge_suspicions(&suspicions);
                (MeshReply::Acknowledged, Bytes::new())
            }
            MeshRequest::Routes(known) => {
                let newer = shared.routes().filter(|it| it.version > known);
                (MeshReply::Routes(newer.map(|it| (*it).clone())), Bytes::new())
            }
        }
    }
}

impl PeerHandler for MeshHandler {
    fn handle(&self, _from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture {
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            match req {
                PeerRequest::Mesh(req) => {
                    let (reply, body) = MeshHandler::reply(shared, req, body).await;
                    Some((PeerReply::Mesh(reply), body))
                }
                _ => Some((PeerReply::Refused(ErrorKind::Internal), Bytes::new())),
            }
        })
    }
}
