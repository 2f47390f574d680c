use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bincode::{Decode, Encode};

use super::{NodeId, ParseIdError};

/// Key of a request that may run at most once, created by its home: the node that keeps the record
/// of the request.
///
/// ```
/// use pollenlever_core::id::RequestKey;
/// let key: RequestKey = "127.0.0.1:7101@1f~3e8~2a~77".parse().unwrap();
/// assert_eq!(key.minted_at().as_secs(), 1);
/// assert_eq!(key.to_string(), "127.0.0.1:7101@1f~3e8~2a~77");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Encode, Decode)]
pub struct RequestKey {
    /// The node that created the key and alone decides whether the request runs.
    pub home: NodeId,
    /// Time at which the key was created, in milliseconds by the home's monotonic clock.
    pub minted_ms: u64,
    /// Sequence number of the key at its home.
    pub seq: u64,
    /// Keyed hash by which the home recognises the keys that it created.
    pub tag: u64,
}

impl RequestKey {
    /// Time at which the key was created, by the home's monotonic clock.
    pub fn minted_at(&self) -> Duration {
        Duration::from_millis(self.minted_ms)
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}~{:x}~{:x}~{:x}", self.home, self.minted_ms, self.seq, self.tag)
    }
}

impl FromStr for RequestKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<RequestKey, ParseIdError> {
        let err = || ParseIdError::new(text, "a key from POST /pollenlever/v1/keys of any node");
        let mut parts = text.split('~');
        let home = parts.next().and_then(|it| it.parse().ok()).ok_or_else(err)?;
        let mut number = || {
            let part = parts.next().ok_or_else(err)?;
            u64::from_str_radix(part, 16).map_err(|_| err())
        };
        let (minted_ms, seq, tag) = (number()?, number()?, number()?);
        match parts.next() {
            None => Ok(RequestKey { home, minted_ms, seq, tag }),
            Some(_) => Err(err()),
        }
    }
}
