//! Protocol versions whose messages have the encoding of the present one, and which of them has a request.

use pollenlever_core::mesh::MeshRequest;
use pollenlever_core::message::PeerRequest;

use super::{RequestFrame, WireError};

/// Version without confirmations of routes.
pub(super) const VERSION_6: u16 = 6;
/// Version without departures that nodes keep for each other.
pub(super) const VERSION_7: u16 = 7;

/// Checks that the version of a frame has its request.
///
/// # Errors
///
/// [`WireError::NotInVersion`] if it has not.
pub(super) fn check_request(frame: &RequestFrame) -> Result<(), WireError> {
    let PeerRequest::Mesh(req) = &frame.request else { return Ok(()) };
    let last_without = match req {
        MeshRequest::ConfirmRoutes(_) => VERSION_6,
        MeshRequest::KeepDeparture(_) | MeshRequest::RecallDeparture(_) => VERSION_7,
        _ => return Ok(()),
    };
    if frame.version <= last_without {
        return Err(WireError::NotInVersion { version: frame.version });
    }
    Ok(())
}
