use bincode::{Decode, Encode};

use super::{DepartedTarget, MeshAttempt, RouteConfirmation, RouteVersion};
use crate::id::AttemptId;
use crate::message::Suspicion;
use crate::quota::{ShareDelegation, TokenRequest};

/// A request from one node of the mesh to another; answered with a [`MeshReply`](super::MeshReply).
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum MeshRequest {
    /// Run a request on the target beside the receiver.
    Attempt(Box<MeshAttempt>),
    /// Seal the attempt, so that it is never started, or report that it was started.
    Seal(AttemptId),
    /// Version of the sender's routes.
    OfferRoutes(RouteVersion),
    /// Requests during which targets have crashed, with their crash counts.
    Suspects(Vec<Suspicion>),
    /// Send the receiver's routes if they are newer than this version.
    Routes(RouteVersion),
    /// Delegate units of quotas to the receiver, or renew or withdraw them.
    DelegateShares(ShareDelegation),
    /// Grant tokens for requests of workspaces whose home the receiver is.
    TakeTokens(Vec<TokenRequest>),
    /// The share table in the store gives the receiver more units than before.
    ShareTableWritten,
    /// Send the number of shards of the share table.
    QuotaShards,
    /// The sender's routes were the newest ones in the store.
    ConfirmRoutes(RouteConfirmation),
    /// The target beside the sender has left: tell that each later process of the sender.
    KeepDeparture(DepartedTarget),
    /// The target beside the receiver has left, as an earlier process of the receiver has told the sender.
    RecallDeparture(DepartedTarget),
    /// Send the departures that the receiver keeps for processes of the sender.
    KeptDepartures,
}
