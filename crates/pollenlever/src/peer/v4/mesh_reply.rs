use bincode::{Decode, Encode};
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{MeshReply as Current, RouteVersion};

use super::{AttemptReply, RouteTable, VERSION};
use crate::peer::WireError;

/// The reply to a request of the mesh.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) enum MeshReply {
    Attempt(AttemptReply),
    Sealed(bool),
    RoutesVersion { node: NodeId, version: RouteVersion },
    Acknowledged,
    Routes(Option<RouteTable>),
}

impl TryFrom<Current> for MeshReply {
    type Error = WireError;

    fn try_from(it: Current) -> Result<MeshReply, WireError> {
        Ok(match it {
            Current::Attempt(reply) => MeshReply::Attempt(reply.into()),
            Current::Sealed(is_sealed) => MeshReply::Sealed(is_sealed),
            Current::RoutesVersion { node, version } => MeshReply::RoutesVersion { node, version },
            Current::Acknowledged => MeshReply::Acknowledged,
            Current::Routes(table) => MeshReply::Routes(table.map(RouteTable::from)),
            Current::SharesDelegated(_)
            | Current::Tokens(_)
            | Current::QuotaShards(_)
            | Current::KeptDepartures(_) => {
                return Err(WireError::NotInVersion { version: VERSION });
            }
        })
    }
}

impl From<MeshReply> for Current {
    fn from(it: MeshReply) -> Current {
        match it {
            MeshReply::Attempt(reply) => Current::Attempt(reply.into()),
            MeshReply::Sealed(is_sealed) => Current::Sealed(is_sealed),
            MeshReply::RoutesVersion { node, version } => Current::RoutesVersion { node, version },
            MeshReply::Acknowledged => Current::Acknowledged,
            // A table without workspaces would let requests without keys pass, see `RouteTable`.
            MeshReply::Routes(_) => Current::Routes(None),
        }
    }
}
