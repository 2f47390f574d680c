use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::id::{AttemptId, NodeId};
use pollenlever_core::mesh::{MeshReply, MeshRequest, RequestId};
use pollenlever_core::message::{PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;
use tokio::time::timeout;

use super::MeshShared;
use super::log_event::{LogEvent, log_event};

/// Most sends of one seal.
const MAX_SEAL_SENDS: usize = 2;

/// What the owner of an attempt learns when it seals it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SealResult {
    /// The attempt has not started and never will.
    Sealed,
    /// The attempt has started, or the gate cannot tell.
    MayHaveStarted,
    /// The gate has not replied.
    NoReply,
}

impl SealResult {
    fn as_str(self) -> &'static str {
        match self {
            SealResult::Sealed => "sealed",
            SealResult::MayHaveStarted => "may-have-started",
            SealResult::NoReply => "no-reply",
        }
    }
}

impl MeshShared {
    /// Seals an attempt of a request at its gate, so that it never starts, unless it has started
    /// already. Waits for the gate's reply for at most `limit`.
    pub(super) async fn seal_attempt(
        &self,
        request: &RequestId,
        gate: NodeId,
        attempt: AttemptId,
        limit: Duration,
    ) -> SealResult {
        let began = self.clock.now();
        let result = if gate == self.me {
            seal_result(self.gate.seal(attempt))
        } else {
            let sealed = timeout(limit, self.send_seal(gate, attempt)).await;
            sealed.unwrap_or(SealResult::NoReply)
        };
        self.metrics.record_seal(result.as_str());
        let now = self.clock.now();
        if let Some(omitted) = self.request_log.admit_line(now) {
            log_event!(
                LogEvent::AttemptSealed,
                "request={request} gate={gate} result={} took_ms={} omitted={omitted}",
                result.as_str(),
                now.saturating_sub(began).as_millis()
            );
        }
        result
    }

    async fn send_seal(&self, gate: NodeId, attempt: AttemptId) -> SealResult {
        for _ in 0..MAX_SEAL_SENDS {
            let req = PeerRequest::Mesh(MeshRequest::Seal(attempt));
            match self.peers.exchange(gate, req, Bytes::new()).await {
                Ok((PeerReply::Mesh(MeshReply::Sealed(is_sealed)), _)) => {
                    return seal_result(is_sealed);
                }
                // Another process has the address now, so the attempt may have started at its gate.
                Ok(_) => return SealResult::MayHaveStarted,
                // It may have been the connection that has lost the attempt.
                Err(err) if err.failure == SendFailure::Lost => {}
                Err(_) => break,
            }
        }
        SealResult::NoReply
    }
}

fn seal_result(is_sealed: bool) -> SealResult {
    if is_sealed { SealResult::Sealed } else { SealResult::MayHaveStarted }
}
