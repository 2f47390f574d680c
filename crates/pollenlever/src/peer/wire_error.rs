use pollenlever_core::answer::ErrorKind;
use thiserror::Error;

use crate::bounds::MemoryError;

/// Why a message between nodes cannot be sent or read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The stream or its connection failed.
    #[error("stream failed: {0}")]
    Stream(String),
    /// The stream ended before the declared length.
    #[error("the message ended after {received} of {declared} bytes")]
    Truncated {
        /// Bytes that arrived.
        received: usize,
        /// Bytes that were declared.
        declared: usize,
    },
    /// The stream carries more than the declared length.
    #[error("the message is longer than the declared {declared} bytes")]
    Overlong {
        /// Bytes that were declared.
        declared: usize,
    },
    /// The declared head exceeds the limit.
    #[error("the head has {declared} bytes, at most {limit} are allowed")]
    HeadTooLarge {
        /// Bytes that were declared.
        declared: usize,
        /// Largest head, in bytes.
        limit: usize,
    },
    /// The declared body exceeds the limit.
    #[error("the body has {declared} bytes, at most {limit} are allowed")]
    BodyTooLarge {
        /// Bytes that were declared.
        declared: usize,
        /// Largest body, in bytes.
        limit: usize,
    },
    /// There is no memory for the body.
    #[error("{0}")]
    Memory(#[from] MemoryError),
    /// The peer uses another version of the protocol.
    #[error("the peer uses protocol version {found}, this node {oldest} to {expected}", oldest = super::OLDEST_PROTOCOL_VERSION)]
    Version {
        /// Version of the peer.
        found: u16,
        /// Newest version of this node.
        expected: u16,
    },
    /// The protocol version of the peer has no such message.
    #[error("protocol version {version} has no such message")]
    NotInVersion {
        /// Version of the peer.
        version: u16,
    },
    /// The head cannot be encoded or decoded.
    #[error("malformed head: {0}")]
    Malformed(String),
}

impl WireError {
    /// The error kind that a server returns to the sender of the message.
    pub fn error_kind(&self) -> ErrorKind {
        match self {
            WireError::HeadTooLarge { .. } => ErrorKind::HeaderTooLarge,
            WireError::BodyTooLarge { .. } => ErrorKind::BodyTooLarge,
            WireError::Memory(MemoryError::Taken) => ErrorKind::QueueFull,
            WireError::Memory(MemoryError::TooLarge { .. }) => ErrorKind::BodyTooLarge,
            WireError::Version { .. } => ErrorKind::WrongProtocolVersion,
            _ => ErrorKind::MalformedRequest,
        }
    }
}
