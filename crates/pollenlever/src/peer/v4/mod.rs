//! Encoding of protocol version 4, for nodes that have not been upgraded yet.
//!
//! A type is declared here if its encoding differs from that of version 6; all others are the same in both.
//! Version 4 has no workspaces, quotas, paces of started targets and reported slowdowns, and lacks what
//! version 5 does.

mod attempt_reply;
mod gate_load;
mod http_route;
mod mesh_attempt;
mod mesh_reply;
mod mesh_request;
mod peer_reply;
mod peer_request;
mod reply_frame;
mod request_frame;
mod route_table;

pub(super) use reply_frame::ReplyFrame;
pub(super) use request_frame::RequestFrame;

use attempt_reply::AttemptReply;
use gate_load::GateLoad;
use http_route::HttpRoute;
use mesh_attempt::MeshAttempt;
use mesh_reply::MeshReply;
use mesh_request::MeshRequest;
use peer_reply::PeerReply;
use peer_request::PeerRequest;
use route_table::RouteTable;

use pollenlever_core::answer::ErrorKind;

/// Version of the protocol that this module encodes.
pub(super) const VERSION: u16 = 4;

/// The kind that a node of version 4 knows for `kind`. All kinds that it does not know are refusals of
/// requests that have not run.
fn known_error(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::UnknownApiKey | ErrorKind::QuotaUnavailable => ErrorKind::Overloaded,
        kind => kind,
    }
}
