use bincode::{Decode, Encode};

use super::{MeshAttempt, RouteVersion};
use crate::id::AttemptId;
use crate::message::Suspicion;

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
}
