//! What this build reads of a message from a node of an earlier version.

use pollenlever_core::mesh::{AttemptReply, MeshAttempt, MeshReply, MeshRequest};
use pollenlever_core::message::{GateLoad, PeerReply, PeerRequest};

/// A request as a node of version 4 reads it; `None` if that version has no such request.
pub(crate) fn request_in_version_4(req: PeerRequest) -> Option<PeerRequest> {
    match req {
        PeerRequest::Mesh(MeshRequest::Attempt(head)) => {
            let head = MeshAttempt { workspace: None, ..*head };
            Some(PeerRequest::Mesh(MeshRequest::Attempt(Box::new(head))))
        }
        PeerRequest::Mesh(
            MeshRequest::DelegateShares(_)
            | MeshRequest::TakeTokens(_)
            | MeshRequest::ShareTableWritten
            | MeshRequest::QuotaShards
            | MeshRequest::ConfirmRoutes(_)
            | MeshRequest::KeepDeparture(_)
            | MeshRequest::RecallDeparture(_)
            | MeshRequest::KeptDepartures,
        ) => None,
        req => Some(req),
    }
}

/// A request as a node of version 5 or 6 reads it; `None` if these versions have no such request.
pub(crate) fn request_in_version_6(req: PeerRequest) -> Option<PeerRequest> {
    let is_known = !matches!(req, PeerRequest::Mesh(MeshRequest::ConfirmRoutes(_)));
    request_in_version_7(req).filter(|_| is_known)
}

/// A request as a node of version 7 reads it; `None` if that version has no such request.
pub(crate) fn request_in_version_7(req: PeerRequest) -> Option<PeerRequest> {
    let is_known = !matches!(
        req,
        PeerRequest::Mesh(MeshRequest::KeepDeparture(_) | MeshRequest::RecallDeparture(_))
    );
    request_in_version_8(req).filter(|_| is_known)
}

/// A request as a node of version 8 reads it; `None` if that version has no such request.
pub(crate) fn request_in_version_8(req: PeerRequest) -> Option<PeerRequest> {
    let is_known = !matches!(req, PeerRequest::Mesh(MeshRequest::KeptDepartures));
    is_known.then_some(req)
}

/// A reply as a node of version 6, 7 or 8 reads it; `None` if these versions have no such reply.
pub(crate) fn reply_in_version_8(reply: PeerReply) -> Option<PeerReply> {
    let is_known = !matches!(reply, PeerReply::Mesh(MeshReply::KeptDepartures(_)));
    is_known.then_some(reply)
}

/// A reply as this build reads it from a node of version 5.
pub(crate) fn reply_in_version_5(reply: PeerReply) -> Option<PeerReply> {
    let known = reply_in_version_8(reply)?;
    Some(with_load(known, |it| GateLoad { admitted_permille: 0, ..it }))
}

/// A reply as this build reads it from a node of version 4; `None` if that version has no such reply.
pub(crate) fn reply_in_version_4(reply: PeerReply) -> Option<PeerReply> {
    match reply {
        // Routes without workspaces are not taken from a node of version 4.
        PeerReply::Mesh(MeshReply::Routes(_)) => Some(PeerReply::Mesh(MeshReply::Routes(None))),
        PeerReply::Mesh(
            MeshReply::SharesDelegated(_)
            | MeshReply::Tokens(_)
            | MeshReply::QuotaShards(_)
            | MeshReply::KeptDepartures(_),
        ) => None,
        reply => Some(with_load(reply, |it| GateLoad {
            start_share_permille: 0,
            admitted_permille: 0,
            slowdown_percent: 0,
            ..it
        })),
    }
}

/// A reply with another load, if it has one.
fn with_load(reply: PeerReply, change: fn(GateLoad) -> GateLoad) -> PeerReply {
    match reply {
        PeerReply::Attempt(answer, load) => PeerReply::Attempt(answer, change(load)),
        PeerReply::Mesh(MeshReply::Attempt(it)) => {
            PeerReply::Mesh(MeshReply::Attempt(AttemptReply { load: change(it.load), ..it }))
        }
        reply => reply,
    }
}
