use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

use super::{NodeId, ParseIdError};

/// Id of a chain: a request of a caller with all calls made to serve it. It is assigned by the
/// first node that receives the request, the chain's origin.
///
/// ```
/// use pollenlever_core::id::ChainId;
/// let chain: ChainId = "127.0.0.1:7101@1f~2a".parse().unwrap();
/// assert_eq!(chain.seq, 0x2a);
/// assert_eq!(chain.to_string(), "127.0.0.1:7101@1f~2a");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct ChainId {
    /// The node that assigned the id and alone counts the retries of the chain.
    pub origin: NodeId,
    /// Sequence number of the chain at its origin.
    pub seq: u64,
}

impl fmt::Display for ChainId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.origin, self.seq)
    }
}

impl FromStr for ChainId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<ChainId, ParseIdError> {
        let err = || ParseIdError::new(text, "IP:PORT@INCARNATION~SEQ with numbers in hex");
        let (origin, seq) = text.split_once('~').ok_or_else(err)?;
        let origin = origin.parse().map_err(|_| err())?;
        let seq = u64::from_str_radix(seq, 16).map_err(|_| err())?;
        Ok(ChainId { origin, seq })
    }
}
