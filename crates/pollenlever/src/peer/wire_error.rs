use pollenlever_core::answer::ErrorKind;
use thiserror::Error;

/// A message between nodes that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WireError {
    /// The stream or its connection failed.
    #[error("stream failed: {0}")]
    Stream(String),
    /// The stream ended before the declared length.
    #[error("cut after {got} of {declared} bytes")]
    Cut {
        /// Bytes that arrived.
        got: usize,
        /// Bytes that were declared.
        declared: usize,
    },
    /// The stream carries more than the declared length.
    #[error("more than the declared {declared} bytes")]
    Overlong {
        /// Bytes that were declared.
        declared: usize,
    },
    /// The declared head is over the limit.
    #[error("head of {declared} bytes, at most {limit} are allowed")]
    HeadTooLarge {
        /// Bytes that were declared.
        declared: usize,
        /// Largest head.
        limit: usize,
    },
    /// The declared body is over the limit.
    #[error("body of {declared} bytes, at most {limit} are allowed")]
    BodyTooLarge {
        /// Bytes that were declared.
        declared: usize,
        /// Largest body.
        limit: usize,
    },
    /// The peer speaks another version of the protocol.
    #[error("protocol version {found}, this node speaks {expected}")]
    Version {
        /// Version of the peer.
        found: u16,
        /// Version of this node.
        expected: u16,
    },
    /// The head does not decode.
    #[error("malformed head: {0}")]
    Malformed(String),
}

impl WireError {
    /// The error kind with which a server refuses the message.
    pub fn kind(&self) -> ErrorKind {
        match self {
            WireError::HeadTooLarge { .. } => ErrorKind::HeaderTooLarge,
            WireError::BodyTooLarge { .. } => ErrorKind::BodyTooLarge,
            WireError::Version { .. } => ErrorKind::WrongProtocolVersion,
            _ => ErrorKind::MalformedRequest,
        }
    }
}
