//! Encoding of protocol version 6, for nodes that have not been upgraded yet.
//!
//! All messages have the encoding of version 7. Version 6 and the versions before it lack confirmations of
//! routes.

use pollenlever_core::mesh::MeshRequest;
use pollenlever_core::message::PeerRequest;

use super::{RequestFrame, WireError};

/// Version of the protocol that this module encodes.
pub(super) const VERSION: u16 = 6;

/// Checks that the version of a frame, which is 6 or older, has its request.
///
/// # Errors
///
/// [`WireError::NotInVersion`] if it has not.
pub(super) fn check_request(frame: &RequestFrame) -> Result<(), WireError> {
    match &frame.request {
        PeerRequest::Mesh(MeshRequest::ConfirmRoutes(_)) => {
            Err(WireError::NotInVersion { version: frame.version })
        }
        _ => Ok(()),
    }
}
