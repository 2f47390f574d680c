use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::{Decode, Encode};
use bytes::Bytes;
use pollenlever_core::message::PROTOCOL_VERSION;

use super::{ReplyFrame, RequestFrame, WireError};

/// Largest encoded head of a message, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 4 << 20;

type WireConfig = Configuration<LittleEndian, Varint, Limit<MAX_HEAD_BYTES>>;

fn wire_config() -> WireConfig {
    bincode::config::standard().with_limit::<MAX_HEAD_BYTES>()
}

/// Encodes the head of a request.
///
/// # Errors
///
/// [`WireError::Malformed`] if the head is over the limit.
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
    encode(frame)
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
    decode(head)
}

/// Encodes the head of a reply.
///
/// # Errors
///
/// [`WireError::Malformed`] if the head is over the limit.
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
    encode(frame)
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
    decode(head)
}

fn encode<T: Encode>(frame: &T) -> Result<Bytes, WireError> {
    let head = bincode::encode_to_vec(frame, wire_config());
    head.map(Bytes::from).map_err(|err| WireError::Malformed(err.to_string()))
}

fn decode<T: Decode<()>>(head: &[u8]) -> Result<T, WireError> {
    let malformed = |err: bincode::error::DecodeError| WireError::Malformed(err.to_string());
    let (version, _) =
        bincode::decode_from_slice::<u16, _>(head, wire_config()).map_err(malformed)?;
    if version != PROTOCOL_VERSION {
        return Err(WireError::Version { found: version, expected: PROTOCOL_VERSION });
    }
    let (frame, used) = bincode::decode_from_slice(head, wire_config()).map_err(malformed)?;
    if used != head.len() {
        return Err(WireError::Malformed(format!(
            "{} unexpected bytes after the head",
            head.len() - used
        )));
    }
    Ok(frame)
}
