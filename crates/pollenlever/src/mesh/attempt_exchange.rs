use std::time::Duration;

use bytes::Bytes;
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::id::{AttemptId, NodeId};
use pollenlever_core::mesh::{
    AttemptInFlight, AttemptOutcome, AttemptReply, Delivery, MeshAttempt, MeshReply, MeshRequest,
};
use pollenlever_core::message::{GateLoad, PeerReply, PeerRequest};
use pollenlever_core::policy::SendFailure;

use super::attempt_seal::SealResult;
use super::log_event::{LogEvent, log_event};
use super::request_dispatcher::RequestDispatcher;
use super::routed_request::RoutedRequest;

/// Timeout for sealing an attempt whose reply was lost.
const SEAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for sealing an attempt of an idempotent request, which may be sent again in any case.
const IDEMPOTENT_SEAL_TIMEOUT: Duration = Duration::from_millis(150);

/// What a gate replied to an attempt.
enum GateReply {
    /// Its outcome, with the body of the target's answer.
    Attempt(AttemptReply, Bytes),
    /// The gate has no memory for the body of the request, which it has not read.
    NoMemory,
}

/// Single attempts: how they are sent, and what their outcome is if no reply comes.
impl RequestDispatcher {
    /// Sends an attempt to a gate and waits for its outcome.
    pub(super) async fn send_attempt(
        &self,
        req: &RoutedRequest,
        delivery: &mut Delivery,
        gate: NodeId,
        repeat: f32,
    ) -> (AttemptReply, Bytes) {
        let now = self.shared.clock.now();
        let id = AttemptId { sender: self.shared.me, seq: self.shared.next_id() };
        let attempt = AttemptInFlight { id, gate };
        delivery.record_sent(attempt);
        let remembered = self.shared.remembered_statement(gate);
        let head = MeshAttempt { remembered, ..req.head(&self.shared, id, now, repeat) };
        let sent = self.shared.record_sent(gate, req.body.len() as u64);
        let result = if gate == self.shared.me {
            let (reply, body) = self.shared.gate.attempt(head, req.body.clone()).await;
            Ok(GateReply::Attempt(reply, body))
        } else {
            self.exchange(gate, head, req.body.clone()).await
        };
        match result {
            Ok(GateReply::Attempt(mut reply, body)) => {
                self.shared.remember_statement(gate, reply.statement.take());
                sent.record_reply(&reply.load, body.len() as u64);
                self.shared.downstream.record_load(&req.service, req.lineage, &reply.load);
                (reply, body)
            }
            Ok(GateReply::NoMemory) => {
                drop(sent);
                let error = ErrorKind::Overloaded;
                let refusal = AttemptOutcome::RefusedByGate { error, retry_after: None };
                (reply_without_load(refusal), Bytes::new())
            }
            Err(failure) => {
                sent.record_no_reply();
                let outcome = self.outcome_without_reply(req, attempt, failure).await;
                (reply_without_load(outcome), Bytes::new())
            }
        }
    }

    async fn exchange(
        &self,
        gate: NodeId,
        head: MeshAttempt,
        body: Bytes,
    ) -> Result<GateReply, SendFailure> {
        let id = head.request_id.clone();
        let req = PeerRequest::Mesh(MeshRequest::Attempt(Box::new(head)));
        match self.shared.peers.exchange(gate, req, body).await {
            Ok((PeerReply::Mesh(MeshReply::Attempt(reply)), body)) => {
                self.shared.on_version_in_reply(gate, reply.routes);
                Ok(GateReply::Attempt(reply, body))
            }
            // Another process has the address now; it refused the attempt without reading it.
            Ok((PeerReply::Refused(ErrorKind::WrongIncarnation), _)) => {
                self.log_lost(&id, gate, "another incarnation");
                Err(SendFailure::NotSent)
            }
            // The gate has no memory for the body; it refused the attempt before it read it.
            Ok((PeerReply::Refused(ErrorKind::QueueFull), _)) => Ok(GateReply::NoMemory),
            Ok(_) => {
                self.log_lost(&id, gate, "unexpected reply");
                Err(SendFailure::Lost)
            }
            Err(err) => {
                self.log_lost(&id, gate, &err.reason);
                Err(err.failure)
            }
        }
    }

    fn log_lost(&self, id: &str, gate: NodeId, reason: &str) {
        if let Some(omitted) = self.shared.request_log.admit_line(self.shared.clock.now()) {
            log_event!(
                LogEvent::AttemptLost,
                "request={id} gate={gate} reason={reason:?} omitted={omitted}"
            );
        }
    }

    /// Outcome of an attempt that got no reply.
    async fn outcome_without_reply(
        &self,
        req: &RoutedRequest,
        attempt: AttemptInFlight,
        failure: SendFailure,
    ) -> AttemptOutcome {
        let limit = if req.route.is_idempotent { IDEMPOTENT_SEAL_TIMEOUT } else { SEAL_TIMEOUT };
        match failure {
            SendFailure::NotSent => AttemptOutcome::NotSent,
            SendFailure::Lost if self.seal(req, attempt, limit).await => AttemptOutcome::NotSent,
            SendFailure::Lost => AttemptOutcome::Unknown,
        }
    }

    /// Seals an attempt. Returns whether it is certain that it never runs.
    pub(super) async fn seal(
        &self,
        req: &RoutedRequest,
        attempt: AttemptInFlight,
        limit: Duration,
    ) -> bool {
        let sealed = self.shared.seal_attempt(&req.id, attempt.gate, attempt.id, limit).await;
        sealed == SealResult::Sealed
    }
}

fn reply_without_load(outcome: AttemptOutcome) -> AttemptReply {
    let load = GateLoad::default();
    AttemptReply { outcome, headers: Vec::new(), load, routes: 0, statement: None }
}
