//! Protocol versions whose messages have the encoding of the present one, and which of them has a message.

use pollenlever_core::mesh::{MeshReply, MeshRequest};
use pollenlever_core::message::{PeerReply, PeerRequest};

use super::{ReplyFrame, RequestFrame, WireError};

/// Version without confirmations of routes.
pub(super) const VERSION_6: u16 = 6;
/// Version without departures that nodes keep for each other.
pub(super) const VERSION_7: u16 = 7;
/// Version whose restarted nodes do not ask for kept departures.
pub(super) const VERSION_8: u16 = 8;

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
        MeshRequest::KeptDepartures => VERSION_8,
        _ => return Ok(()),
    };
    if frame.version <= last_without {
        return Err(WireError::NotInVersion { version: frame.version });
    }
    Ok(())
}

/// Checks that the version of a frame has its reply.
///
/// # Errors
///
/// [`WireError::NotInVersion`] if it has not.
pub(super) fn check_reply(frame: &ReplyFrame) -> Result<(), WireError> {
    let is_unknown = matches!(frame.reply, PeerReply::Mesh(MeshReply::KeptDepartures(_)));
    if is_unknown && frame.version <= VERSION_8 {
        return Err(WireError::NotInVersion { version: frame.version });
    }
    Ok(())
}
