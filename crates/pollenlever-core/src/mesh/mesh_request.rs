use bincode::{Decode, Encode};

use super::{MeshAttempt, RouteVersion};
use crate::id::AttemptId;
use crate::membership::Member;
use crate::message::Suspicion;

/// A request between nodes that carry a mesh's traffic.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum MeshRequest {
    /// Run a request on the target beside you.
    Attempt(MeshAttempt),
    /// Make sure that the attempt is never started, or say that it was.
    Seal(AttemptId),
    /// What the sender says about itself, and the version of its routes.
    Announce(Member, RouteVersion),
    /// Targets have crashed while they ran these requests.
    Suspects(Vec<Suspicion>),
    /// Send your routes if they are newer than this version.
    Routes(RouteVersion),
}
