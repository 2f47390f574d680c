use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::NodeId;
use pollenlever_core::membership::MembershipEvent;
use pollenlever_core::mesh::{AttemptReply, MeshReply, MeshRequest};
use pollenlever_core::message::{PeerReply, PeerRequest};

use super::MeshShared;
use crate::gossip::reply_to_gossip;
use crate::peer::{PeerHandler, PeerReplyFuture};

/// Handles requests from other nodes of the mesh.
pub(super) struct MeshHandler {
    pub(super) shared: Arc<MeshShared>,
}

impl MeshHandler {
    async fn reply(
        shared: Arc<MeshShared>,
        from: NodeId,
        req: MeshRequest,
        body: Bytes,
    ) -> Result<(MeshReply, Bytes), ErrorKind> {
        let reply = match req {
            MeshRequest::Attempt(head) => {
                let (reply, body) = shared.gate.attempt(*head, body).await;
                let reply = AttemptReply { routes: shared.route_version(), ..reply };
                (MeshReply::Attempt(reply), body)
            }
            MeshRequest::Seal(attempt) => {
                (MeshReply::Sealed(shared.gate.seal(attempt)), Bytes::new())
            }
            MeshRequest::OfferRoutes(version) => {
                (shared.on_routes_offered(from, version), Bytes::new())
            }
            MeshRequest::ConfirmRoutes(confirmation) => {
                (shared.on_routes_confirmed(from, confirmation), Bytes::new())
            }
            MeshRequest::Suspects(suspicions) => {
                shared.gate.merge_suspicions(&suspicions);
                (MeshReply::Acknowledged, Bytes::new())
            }
            MeshRequest::KeepDeparture(departed) => {
                shared.keep_departure(from, departed)?;
                (MeshReply::Acknowledged, Bytes::new())
            }
            MeshRequest::RecallDeparture(departed) => {
                shared.apply_past_departure(departed, "peer");
                (MeshReply::Acknowledged, Bytes::new())
            }
            MeshRequest::KeptDepartures => {
                (MeshReply::KeptDepartures(shared.kept_departures_of(from)), Bytes::new())
            }
            MeshRequest::Routes(known) => {
                let newer = shared.routes().filter(|it| it.version > known);
                (MeshReply::Routes(newer.map(|it| (*it).clone())), Bytes::new())
            }
            MeshRequest::DelegateShares(delegation) => {
                let reply = shared.quota.on_delegation(&delegation);
                (MeshReply::SharesDelegated(reply), Bytes::new())
            }
            MeshRequest::TakeTokens(requests) => {
                (MeshReply::Tokens(shared.quota.on_token_requests(&requests)), Bytes::new())
            }
            MeshRequest::ShareTableWritten => {
                shared.quota.request_table_read();
                (MeshReply::Acknowledged, Bytes::new())
            }
            MeshRequest::QuotaShards => {
                (MeshReply::QuotaShards(shared.quota.shards()), Bytes::new())
            }
        };
        Ok(reply)
    }
}

impl PeerHandler for MeshHandler {
    fn handle(&self, from: NodeId, req: PeerRequest, body: Bytes) -> PeerReplyFuture {
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            match req {
                PeerRequest::Mesh(req) => {
                    let reply = MeshHandler::reply(shared, from, req, body).await;
                    Some(match reply {
                        Ok((reply, body)) => (PeerReply::Mesh(reply), body),
                        Err(err) => (PeerReply::Refused(err), Bytes::new()),
                    })
                }
                PeerRequest::Gossip(message) => {
                    let reply = reply_to_gossip(&shared.members, from, message);
                    Some((PeerReply::Gossip(reply), Bytes::new()))
                }
                _ => Some((PeerReply::Refused(ErrorKind::Internal), Bytes::new())),
            }
        })
    }

    /// A node that contacts an earlier process of this one does not know this process yet, nor may
    /// this one know any other node, such as after a restart while the store is down.
    fn handle_misaddressed(&self, from: NodeId) {
        let members = &self.shared.members;
        if members.read(|it| it.table().get(from.addr).is_none()) {
            members.notify(MembershipEvent::Seeds(vec![from.addr]));
        }
    }
}
