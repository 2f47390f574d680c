use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use bincode::{Decode, Encode};

use super::{Incarnation, ParseIdError};

/// Id of a node process: its peer address and the incarnation that it drew at its start.
///
/// ```
/// use pollenlever_core::id::NodeId;
/// let node: NodeId = "127.0.0.1:7101@1f".parse().unwrap();
/// assert_eq!(node.incarnation, 0x1f);
/// assert_eq!(node.to_string(), "127.0.0.1:7101@1f");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct NodeId {
    /// Address on which the node serves its peers.
    pub addr: SocketAddr,
    /// Random number drawn at the start of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.addr, self.incarnation)
    }
}

impl FromStr for NodeId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<NodeId, ParseIdError> {
        let err = || ParseIdError::new(text, "IP:PORT@INCARNATION with the incarnation in hex");
        let (addr, incarnation) = text.split_once('@').ok_or_else(err)?;
        let addr = addr.parse().map_err(|_| err())?;
        let incarnation = u64::from_str_radix(incarnation, 16).map_err(|_| err())?;
        Ok(NodeId { addr, incarnation })
    }
}
