use bincode::{Decode, Encode};

use super::{AttemptOutcome, RouteTable, RouteVersion};
use crate::membership::Member;
use crate::message::GateLoad;

/// Reply to an attempt; the body of the target's answer travels beside it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct AttemptReply {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Headers of the target's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Load of the gate.
    pub load: GateLoad,
    /// Version of the gate's routes.
    pub routes: RouteVersion,
}

/// The reply to a [`MeshRequest`](super::MeshRequest).
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum MeshReply {
    /// How an attempt ended.
    Attempt(AttemptReply),
    /// Whether the attempt is sealed; if not, it was started.
    Sealed(bool),
    /// What the receiver of an announcement says about itself.
    Announced(Member, RouteVersion),
    /// What was said is noted.
    Noted,
    /// Routes that are newer than those of the asking node, if there are any.
    Routes(Option<RouteTable>),
}
