use bincode::{Decode, Encode};

use super::{AttemptOutcome, DepartedTarget, ProcessStatement, RouteTable, RouteVersion};
use crate::id::NodeId;
use crate::message::GateLoad;
use crate::quota::{ShareDelegationReply, TokenGrant};

/// Reply to an attempt. The body of the target's answer is sent separately.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct AttemptReply {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Headers of the target's answer.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Current load of the gate.
    pub load: GateLoad,
    /// Version of the gate's routes.
    pub routes: RouteVersion,
    /// What the target stated last in an answer that the gate read; `None` if the gate has read
    /// none, and if neither side has anything to say.
    pub statement: Option<ProcessStatement>,
}

/// The reply to a [`MeshRequest`](super::MeshRequest).
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum MeshReply {
    /// Outcome of an attempt, with the head of the answer.
    Attempt(AttemptReply),
    /// `true` if the attempt is sealed, `false` if it was started before.
    Sealed(bool),
    /// Reply to an offer or a confirmation of routes: the process that replies and the version of its routes.
    RoutesVersion {
        /// The process.
        node: NodeId,
        /// Version of its routes; 0 if it has none.
        version: RouteVersion,
    },
    /// Acknowledgement of a request that needs no other reply.
    Acknowledged,
    /// The routes, if they are newer than those of the requesting node.
    Routes(Option<RouteTable>),
    /// Reply to a delegation of units.
    SharesDelegated(ShareDelegationReply),
    /// Grants for token requests, in their order.
    Tokens(Vec<TokenGrant>),
    /// Number of shards of the share table; 0 if the node does not know it.
    QuotaShards(u32),
    /// Departures that the node keeps for processes of the requesting node.
    KeptDepartures(Vec<DepartedTarget>),
}
