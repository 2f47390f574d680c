use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use bytes::Bytes;
use pollenlever_core::message::PROTOCOL_VERSION;

use super::message_versions::{VERSION_6, VERSION_7, VERSION_8, check_reply, check_request};
use super::{ReplyFrame, RequestFrame, WireError, v4, v5};

/// Oldest protocol version that nodes of this build speak with others.
pub const OLDEST_PROTOCOL_VERSION: u16 = v4::VERSION;

/// Largest encoded head of a message, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 4 << 20;

type WireConfig = Configuration<LittleEndian, Varint, Limit<MAX_HEAD_BYTES>>;

fn wire_config() -> WireConfig {
    bincode::config::standard().with_limit::<MAX_HEAD_BYTES>()
}

/// Encodes the head of a request in the protocol version that it names.
///
/// # Errors
///
/// [`WireError::Malformed`] if the head is over the limit, [`WireError::Version`] if this build does not
/// speak the version, [`WireError::NotInVersion`] if the version has no such request.
///
/// ```
/// use pollenlever::peer::{RequestFrame, decode_request, encode_request};
/// use pollenlever_core::message::{PROTOCOL_VERSION, PeerRequest};
///
/// let from = "127.0.0.1:7101@1".parse().unwrap();
/// let chain = "127.0.0.1:7101@1~2a".parse().unwrap();
/// let request = PeerRequest::Grant(chain);
/// let frame = RequestFrame { version: PROTOCOL_VERSION, from, to: 7, request };
/// let head = encode_request(&frame).unwrap();
/// assert_eq!(decode_request(&head), Ok(frame));
/// ```
pub fn encode_request(frame: &RequestFrame) -> Result<Bytes, WireError> {
    match frame.version {
        PROTOCOL_VERSION => encode(frame),
        VERSION_8 | VERSION_7 | VERSION_6 | v5::VERSION => {
            check_request(frame)?;
            encode(frame)
        }
        v4::VERSION => encode(&v4::RequestFrame::try_from(frame.clone())?),
        version => Err(unknown_version(version)),
    }
}

/// Decodes the head of a request.
///
/// # Errors
///
/// [`WireError::Version`] for another protocol version, [`WireError::Malformed`] otherwise.
///
/// ```
/// use pollenlever::peer::{WireError, decode_request};
/// use pollenlever_core::message::PROTOCOL_VERSION;
/// let err = decode_request(&[99]).unwrap_err();
/// assert_eq!(err, WireError::Version { found: 99, expected: PROTOCOL_VERSION });
/// ```
pub fn decode_request(head: &[u8]) -> Result<RequestFrame, WireError> {
    match read_version(head)? {
        PROTOCOL_VERSION | VERSION_8 | VERSION_7 | VERSION_6 | v5::VERSION => decode(head),
        v4::VERSION => decode::<v4::RequestFrame>(head).map(RequestFrame::from),
        version => Err(unknown_version(version)),
    }
}

/// Encodes the head of a reply in the protocol version that it names.
///
/// # Errors
///
/// The same as those of [`encode_request`].
///
/// ```
/// use pollenlever::peer::{ReplyFrame, decode_reply, encode_reply};
/// use pollenlever_core::message::{PROTOCOL_VERSION, PeerReply};
///
/// let from = "127.0.0.1:7101@1".parse().unwrap();
/// let frame = ReplyFrame { version: PROTOCOL_VERSION, from, reply: PeerReply::Grant(true) };
/// assert_eq!(decode_reply(&encode_reply(&frame).unwrap()), Ok(frame));
/// ```
pub fn encode_reply(frame: &ReplyFrame) -> Result<Bytes, WireError> {
    match frame.version {
        PROTOCOL_VERSION => encode(frame),
        VERSION_8 | VERSION_7 | VERSION_6 => {
            check_reply(frame)?;
            encode(frame)
        }
        v5::VERSION => encode(&v5::ReplyFrame::try_from(frame.clone())?),
        v4::VERSION => encode(&v4::ReplyFrame::try_from(frame.clone())?),
        version => Err(unknown_version(version)),
    }
}

/// Decodes the head of a reply.
///
/// # Errors
///
/// [`WireError::Version`] for another protocol version, [`WireError::Malformed`] otherwise.
///
/// ```
/// assert!(pollenlever::peer::decode_reply(&[1, 0xff]).is_err());
/// ```
pub fn decode_reply(head: &[u8]) -> Result<ReplyFrame, WireError> {
    match read_version(head)? {
        PROTOCOL_VERSION | VERSION_8 | VERSION_7 | VERSION_6 => decode(head),
        v5::VERSION => decode::<v5::ReplyFrame>(head).map(ReplyFrame::from),
        v4::VERSION => decode::<v4::ReplyFrame>(head).map(ReplyFrame::from),
        version => Err(unknown_version(version)),
    }
}

/// The protocol version of a head, which all versions have as first field.
fn read_version(head: &[u8]) -> Result<u16, WireError> {
    let (version, _) =
        bincode::decode_from_slice::<u16, _>(head, wire_config()).map_err(malformed)?;
    Ok(version)
}

fn unknown_version(version: u16) -> WireError {
    WireError::Version { found: version, expected: PROTOCOL_VERSION }
}

fn malformed(err: bincode::error::DecodeError) -> WireError {
    WireError::Malformed(err.to_string())
}

fn encode<T: Encode>(frame: &T) -> Result<Bytes, WireError> {
    let head = bincode::encode_to_vec(frame, wire_config());
    head.map(Bytes::from).map_err(|err| WireError::Malformed(err.to_string()))
}

fn decode<T: Decode<()>>(head: &[u8]) -> Result<T, WireError> {
    let (frame, used) = bincode::decode_from_slice(head, wire_config()).map_err(malformed)?;
    if used != head.len() {
        return Err(WireError::Malformed(format!(
            "{} unexpected bytes after the head",
            head.len() - used
        )));
    }
    Ok(frame)
}
