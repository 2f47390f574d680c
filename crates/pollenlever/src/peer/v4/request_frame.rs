use bincode::{Decode, Encode};
use pollenlever_core::id::{Incarnation, NodeId};

use super::{PeerRequest, VERSION};
use crate::peer::WireError;
use crate::peer::request_frame as current;

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub(in crate::peer) struct RequestFrame {
    version: u16,
    from: NodeId,
    to: Incarnation,
    request: PeerRequest,
}

impl TryFrom<current::RequestFrame> for RequestFrame {
    type Error = WireError;

    fn try_from(it: current::RequestFrame) -> Result<RequestFrame, WireError> {
        let request = it.request.try_into()?;
        Ok(RequestFrame { version: VERSION, from: it.from, to: it.to, request })
    }
}

impl From<RequestFrame> for current::RequestFrame {
    fn from(it: RequestFrame) -> current::RequestFrame {
        let request = it.request.into();
        current::RequestFrame { version: it.version, from: it.from, to: it.to, request }
    }
}
