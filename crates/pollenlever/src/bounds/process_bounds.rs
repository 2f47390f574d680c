use nix::sys::resource::{Resource, getrlimit};
use pollenlever_core::memory::{ConnectionLimits, MemoryShares};

use super::ProcessLimits;

/// Memory that a process may use if nobody says how much, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256_000_000;
/// Descriptors that a process may open if its limit cannot be read.
const DEFAULT_DESCRIPTORS: usize = 4096;
/// Connections that each of the addresses for control takes, at least and at most.
const CONTROL_CONNECTIONS: (usize, usize) = (8, 32);
/// Bytes that a connection for control takes at most, with its request.
const CONTROL_CONNECTION_BYTES: usize = 128 << 10;

/// What a process may take in all, and how it is divided among its listening addresses.
///
/// Callers may have half of the descriptors, other nodes a quarter, and each address for control a part
/// of its own. The rest is for what the node opens itself: connections to the target, to other nodes and
/// to the store.
///
/// ```
/// use pollenlever::bounds::ProcessBounds;
/// let bounds = ProcessBounds { memory_bytes: 256_000_000, max_descriptors: 4100 };
/// assert_eq!(bounds.callers().max_connections, 2050);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessBounds {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that it may have open.
    pub max_descriptors: usize,
}

impl ProcessBounds {
    /// Bounds within `limits`, and with no more descriptors than the system allows.
    pub fn of_process(limits: ProcessLimits) -> ProcessBounds {
        let allowed = match getrlimit(Resource::RLIMIT_NOFILE) {
            Ok((soft, _)) => usize::try_from(soft).unwrap_or(usize::MAX),
            Err(err) => {
                log::warn!("limit of descriptors not known reason={:?}", err.to_string());
                DEFAULT_DESCRIPTORS
            }
        };
        ProcessBounds {
            memory_bytes: limits.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES),
            max_descriptors: limits.max_descriptors.map_or(allowed, |it| it.min(allowed)),
        }
    }

    /// Shares of the memory.
    pub fn memory(&self) -> MemoryShares {
        MemoryShares::of_process(self.memory_bytes)
    }

    /// Limits for the connections of callers.
    pub fn callers(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_connections: self.max_descriptors / 2,
            max_buffer_bytes: self.memory().connections,
            ..ConnectionLimits::default()
        }
    }

    /// Limits for the connections of other nodes.
    pub fn peers(&self) -> ConnectionLimits {
        ConnectionLimits {
            max_connections: self.max_descriptors / 4,
            ..ConnectionLimits::default()
        }
    }

    /// Limits for the connections of one address for control.
    pub fn control(&self) -> ConnectionLimits {
        let (min, max) = CONTROL_CONNECTIONS;
        let max_connections = (self.max_descriptors / 32).clamp(min, max);
        let max_buffer_bytes = max_connections * CONTROL_CONNECTION_BYTES;
        ConnectionLimits { max_connections, max_buffer_bytes, ..ConnectionLimits::default() }
    }
}
