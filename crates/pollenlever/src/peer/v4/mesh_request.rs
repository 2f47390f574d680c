use bincode::{Decode, Encode};
use pollenlever_core::id::AttemptId;
use pollenlever_core::mesh::{MeshRequest as Current, RouteVersion};
use pollenlever_core::message::Suspicion;

use super::{MeshAttempt, VERSION};
use crate::peer::WireError;

/// A request from one node of the mesh to another.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) enum MeshRequest {
    Attempt(Box<MeshAttempt>),
    Seal(AttemptId),
    OfferRoutes(RouteVersion),
    Suspects(Vec<Suspicion>),
    Routes(RouteVersion),
}

impl TryFrom<Current> for MeshRequest {
    type Error = WireError;

    fn try_from(it: Current) -> Result<MeshRequest, WireError> {
        Ok(match it {
            Current::Attempt(head) => MeshRequest::Attempt(Box::new((*head).into())),
            Current::Seal(attempt) => MeshRequest::Seal(attempt),
            Current::OfferRoutes(version) => MeshRequest::OfferRoutes(version),
            Current::Suspects(suspicions) => MeshRequest::Suspects(suspicions),
            Current::Routes(version) => MeshRequest::Routes(version),
            Current::DelegateShares(_)
            | Current::TakeTokens(_)
            | Current::ShareTableWritten
            | Current::QuotaShards
            | Current::ConfirmRoutes(_)
            | Current::KeepDeparture(_)
            | Current::RecallDeparture(_)
            | Current::KeptDepartures => {
                return Err(WireError::NotInVersion { version: VERSION });
            }
        })
    }
}

impl From<MeshRequest> for Current {
    fn from(it: MeshRequest) -> Current {
        match it {
            MeshRequest::Attempt(head) => Current::Attempt(Box::new((*head).into())),
            MeshRequest::Seal(attempt) => Current::Seal(attempt),
            MeshRequest::OfferRoutes(version) => Current::OfferRoutes(version),
            MeshRequest::Suspects(suspicions) => Current::Suspects(suspicions),
            MeshRequest::Routes(version) => Current::Routes(version),
        }
    }
}
