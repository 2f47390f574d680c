use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};

use super::{NodeId, ParseIdError};

/// Id of an attempt, a single try to run a request on a target. It is assigned by the node that
/// sends the attempt.
///
/// ```
/// use pollenlever_core::id::AttemptId;
/// let attempt: AttemptId = "127.0.0.1:7101@1f~2a".parse().unwrap();
/// assert_eq!(attempt.to_string(), "127.0.0.1:7101@1f~2a");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct AttemptId {
    /// The node that sends the attempt.
    pub sender: NodeId,
    /// Sequence number of the attempt at its sender.
    pub seq: u64,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}", self.sender, self.seq)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<AttemptId, ParseIdError> {
        let err = || ParseIdError::new(text, "IP:PORT@INCARNATION~SEQ with numbers in hex");
        let (sender, seq) = text.split_once('~').ok_or_else(err)?;
        let sender = sender.parse().map_err(|_| err())?;
        let seq = u64::from_str_radix(seq, 16).map_err(|_| err())?;
        Ok(AttemptId { sender, seq })
    }
}
