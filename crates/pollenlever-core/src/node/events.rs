use bytes::Bytes;

use super::context::Context;
use super::exchange_purpose::ExchangePurpose;
use super::node::Node;
use super::timers::Timer;
use crate::answer::ErrorKind;
use crate::id::{ExchangeId, NodeId, StreamId};
use crate::message::{PeerReply, PeerRequest};
use crate::policy::{Event, SendFailure};

/// Dispatch of events, peer messages and timers to their handlers.
impl Node {
    pub(super) fn on_event(&mut self, cx: &mut Context<'_>, event: Event) {
        match event {
            Event::Call(id, call) => self.on_call(cx, id, call),
            Event::CallCancelled(id) => self.on_call_cancelled(cx, id),
            Event::IssueKeys { call, count } => self.on_issue_keys(cx, call, count),
            Event::Request { stream, from, req, body } => {
                self.on_request(cx, stream, from, req, body);
            }
            Event::RequestCancelled(stream) => self.on_request_cancelled(cx, stream),
            Event::Reply(exchange, reply, body) => self.on_reply(cx, exchange, reply, body),
            Event::SendFailed(exchange, failure) => self.on_send_failed(cx, exchange, failure),
            Event::RunEnded(run, result) => self.on_run_ended(cx, run, result),
            Event::Target(notice) => self.on_target(cx, &notice),
            Event::Config(cfg) => self.on_config(cx, cfg),
            Event::MembersUpdated(members) => self.on_members_updated(cx, members),
            Event::MembersRemoved(nodes) => self.on_members_removed(cx, &nodes),
            Event::Leave => self.on_leave(cx),
            Event::Tick => {}
        }
    }

    fn on_request(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        from: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) {
        match req {
            PeerRequest::Attempt(head) => self.on_attempt(cx, stream, head, body),
            PeerRequest::Forward(head) => self.on_forward(cx, stream, head, body),
            PeerRequest::Grant(chain) => {
                let granted = self.chain_retry_budgets.take_retry(cx.now, chain);
                cx.reply(stream, PeerReply::Grant(granted));
            }
            PeerRequest::Seal(attempt) => self.on_seal(cx, stream, from, attempt),
            PeerRequest::Suspects(reports) => self.on_suspects(cx, stream, &reports),
            PeerRequest::Handover(part) => self.on_handover(cx, stream, from, part, body),
            PeerRequest::Gossip(_) | PeerRequest::Config(_) | PeerRequest::Mesh(_) => {
                cx.reply(stream, PeerReply::Refused(ErrorKind::Internal));
            }
        }
    }

    fn on_reply(&mut self, cx: &mut Context<'_>, id: ExchangeId, reply: PeerReply, body: Bytes) {
        let Some(purpose) = self.exchanges.remove(&id) else { return };
        match purpose {
            ExchangePurpose::Attempt(delivery) => self.on_attempt_reply(cx, delivery, reply, body),
            ExchangePurpose::RetryGrant(delivery) => {
                self.on_retry_grant(cx, delivery, reply == PeerReply::Grant(true));
            }
            ExchangePurpose::ResendGrant(call) => {
                self.on_resend_grant(cx, call, reply == PeerReply::Grant(true));
            }
            ExchangePurpose::ForwardGrant(call) => {
                self.on_forward_grant(cx, call, reply == PeerReply::Grant(true));
            }
            ExchangePurpose::Seal(delivery) => self.on_seal_reply(cx, delivery, reply, body),
            ExchangePurpose::Forward(call) => self.on_forward_reply(cx, call, reply, body),
            ExchangePurpose::Handover => self.on_handover_reply(cx, &reply),
            ExchangePurpose::Suspects => {}
        }
    }

    fn on_send_failed(&mut self, cx: &mut Context<'_>, id: ExchangeId, failure: SendFailure) {
        let Some(purpose) = self.exchanges.remove(&id) else { return };
        match purpose {
            ExchangePurpose::Attempt(delivery) => self.on_attempt_failed(cx, delivery, failure),
            ExchangePurpose::RetryGrant(delivery) => self.on_retry_grant(cx, delivery, false),
            ExchangePurpose::ResendGrant(call) => self.on_resend_grant(cx, call, false),
            ExchangePurpose::ForwardGrant(call) => self.on_forward_grant(cx, call, false),
            ExchangePurpose::Seal(delivery) => self.retry_seal_later(cx, delivery),
            ExchangePurpose::Forward(call) => self.on_forward_failed(cx, call),
            ExchangePurpose::Handover => self.on_handover_failed(cx),
            ExchangePurpose::Suspects => {}
        }
    }

    pub(super) fn on_timer(&mut self, cx: &mut Context<'_>, timer: Timer) {
        match timer {
            Timer::CallDeadline(call) => self.on_call_deadline(cx, call),
            Timer::ReplyOverdue(delivery) => self.on_reply_overdue(cx, delivery),
            Timer::RetrySeal(delivery) => self.on_seal_retry(cx, delivery),
            Timer::GrantTimeout(exchange) => self.on_grant_timeout(cx, exchange),
            Timer::SealTimeout(exchange) => self.on_seal_timeout(cx, exchange),
            Timer::ParkedDeadline(stream) => self.on_parked_deadline(cx, stream),
            Timer::SuspectWait(stream) => self.on_suspect_wait(cx, stream),
            Timer::SpreadSuspicion => self.spread_suspicion(cx),
            Timer::HandoverRetry(call) => self.on_handover_retry(cx, call),
            Timer::LeaveNoticeEnded => self.has_leave_notice_ended = true,
            Timer::QueueDrainTimeout => self.refuse_all_waiting(cx),
        }
    }
}
