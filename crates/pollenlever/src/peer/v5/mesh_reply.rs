use bincode::{Decode, Encode};
use pollenlever_core::id::NodeId;
use pollenlever_core::mesh::{MeshReply as Current, RouteTable, RouteVersion};
use pollenlever_core::quota::{ShareDelegationReply, TokenGrant};

use super::{AttemptReply, VERSION};
use crate::peer::WireError;

/// The reply to a request of the mesh.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(super) enum MeshReply {
    Attempt(AttemptReply),
    Sealed(bool),
    RoutesVersion { node: NodeId, version: RouteVersion },
    Acknowledged,
    Routes(Option<RouteTable>),
    SharesDelegated(ShareDelegationReply),
    Tokens(Vec<TokenGrant>),
    QuotaShards(u32),
}

impl TryFrom<Current> for MeshReply {
    type Error = WireError;

    fn try_from(it: Current) -> Result<MeshReply, WireError> {
        Ok(match it {
            Current::Attempt(reply) => MeshReply::Attempt(reply.into()),
            Current::Sealed(is_sealed) => MeshReply::Sealed(is_sealed),
            Current::RoutesVersion { node, version } => MeshReply::RoutesVersion { node, version },
            Current::Acknowledged => MeshReply::Acknowledged,
            Current::Routes(table) => MeshReply::Routes(table),
            Current::SharesDelegated(reply) => MeshReply::SharesDelegated(reply),
            Current::Tokens(grants) => MeshReply::Tokens(grants),
            Current::QuotaShards(shards) => MeshReply::QuotaShards(shards),
            Current::KeptDepartures(_) => return Err(WireError::NotInVersion { version: VERSION }),
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
            MeshReply::Routes(table) => Current::Routes(table),
            MeshReply::SharesDelegated(reply) => Current::SharesDelegated(reply),
            MeshReply::Tokens(grants) => Current::Tokens(grants),
            MeshReply::QuotaShards(shards) => Current::QuotaShards(shards),
        }
    }
}
