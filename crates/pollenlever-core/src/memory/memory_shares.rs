use super::{MessageKind, MessageLane, MessageSize};

/// Memory that the process takes whatever others send, in bytes, unless it is a small process.
const OWN_BYTES: usize = 16_000_000;
/// Largest body of a request for which a process of the usual size has memory, in bytes.
const LARGEST_BODY_BYTES: usize = (64 << 20) + (1 << 10);
/// Memory of a process from which on the largest body fits, in bytes.
const USUAL_PROCESS_BYTES: usize = 128_000_000;

/// How the memory of a process is divided among what it holds for others, in bytes.
///
/// All kinds share the memory for large messages. What the others may take together leaves some to the
/// answers of other nodes, on which answers that those nodes hold depend. A single message of a kind may
/// take more than the share of its kind, so that one of the largest size fits also on a small machine.
///
/// ```
/// use pollenlever_core::memory::MemoryShares;
/// let shares = MemoryShares::of_process(256_000_000);
/// assert!(shares.sum() < 256_000_000);
/// assert!(shares.large_bodies < shares.large);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// Connections of callers: their buffers, and the requests on them.
    pub connections: usize,
    /// Small bodies together.
    pub small_bodies: usize,
    /// Small answers of each of the two kinds together.
    pub small_answers: usize,
    /// All large messages together.
    pub large: usize,
    /// Part of [`large`](MemoryShares::large) that bodies may take.
    pub large_bodies: usize,
    /// Part of [`large`](MemoryShares::large) that answers of the target may take.
    pub large_target_answers: usize,
    /// Part of [`large`](MemoryShares::large) that answers of other nodes may take.
    pub large_peer_answers: usize,
}

impl MemoryShares {
    /// Shares of a process that may use `bytes` in all.
    pub fn of_process(bytes: usize) -> MemoryShares {
        let own = OWN_BYTES.min(bytes / 4) + bytes / 8;
        let connections = bytes / 8;
        let small = bytes / 32;
        let large = bytes - own - connections - 3 * small;
        let large_bodies = match bytes {
            USUAL_PROCESS_BYTES.. => (bytes / 32 * 9).max(LARGEST_BODY_BYTES),
            _ => bytes / 32 * 9,
        };
        MemoryShares {
            connections,
            small_bodies: small,
            small_answers: small,
            large,
            large_bodies,
            large_target_answers: large / 8 * 3,
            large_peer_answers: large / 2,
        }
    }

    /// Bytes that others can make the process hold.
    pub fn sum(&self) -> usize {
        self.connections + self.small_bodies + 2 * self.small_answers + self.large
    }

    /// Bytes that the messages of a lane may take together.
    pub fn of_lane(&self, lane: MessageLane) -> usize {
        match (lane.kind, lane.size) {
            (MessageKind::Body, MessageSize::Small) => self.small_bodies,
            (_, MessageSize::Small) => self.small_answers,
            (MessageKind::Body, MessageSize::Large) => self.large_bodies,
            (MessageKind::TargetAnswer, MessageSize::Large) => self.large_target_answers,
            (MessageKind::PeerAnswer, MessageSize::Large) => self.large_peer_answers,
        }
    }
}
