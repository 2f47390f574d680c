use bytes::Bytes;

use super::cx::Cx;
use super::exchange::Exchange;
use super::node::Node;
use super::timers::Timer;
use crate::answer::ErrorKind;
use crate::id::{ExchangeId, NodeId, StreamId};
use crate::message::{PeerReply, PeerRequest};
use crate::policy::{Event, SendFailure};

/// Which duty handles which event.
impl Node {
    pub(super) fn on_event(&mut self, cx: &mut Cx<'_>, event: Event) {
        match event {
            Event::Call(id, call) => self.on_call(cx, id, call),
            Event::CallCancelled(id) => self.on_call_cancelled(cx, id),
            Event::TakeKeys { call, count } => self.on_take_keys(cx, call, count),
            Event::Request { stream, from, req, body } => {
                self.on_request(cx, stream, from, req, body);
            }
            Event::RequestCancelled(stream) => self.on_request_cancelled(cx, stream),
            Event::Reply(exchange, reply, body) => self.on_reply(cx, exchange, reply, body),
            Event::SendFailed(exchange, failure) => self.on_send_failed(cx, exchange, failure),
            Event::RunEnded(run, result) => self.on_run_ended(cx, run, result),
            Event::Target(notice) => self.on_target(cx, &notice),
            Event::Config(cfg) => self.on_config(cx, cfg),
            Event::MembersUp(members) => self.on_members_up(cx, members),
            Event::MembersGone(nodes) => self.on_members_gone(cx, &nodes),
            Event::Leave => self.on_leave(cx),
            Event::Tick => {}
        }
    }

    fn on_request(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        from: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) {
        match req {
            PeerRequest::Attempt(head) => self.on_attempt(cx, stream, head, body),
            PeerRequest::Forward(head) => self.on_forward(cx, stream, head, body),
            PeerRequest::Grant(chain) => {
                let granted = self.ledger.grant(cx.now, chain);
                cx.reply(stream, PeerReply::Grant(granted));
            }
            PeerRequest::Seal(attempt) => self.on_seal(cx, stream, from, attempt),
            PeerRequest::Suspects(news) => self.on_suspects(cx, stream, &news),
            PeerRequest::Handover(part) => self.on_handover(cx, stream, from, part, body),
            PeerRequest::Gossip(_) | PeerRequest::Config(_) | PeerRequest::Mesh(_) => {
                cx.reply(stream, PeerReply::Refused(ErrorKind::Internal));
            }
        }
    }

    fn on_reply(&mut self, cx: &mut Cx<'_>, id: ExchangeId, reply: PeerReply, body: Bytes) {
        let Some(why) = self.exchanges.remove(&id) else { return };
        match why {
            Exchange::Attempt(delivery) => self.on_attempt_reply(cx, delivery, reply, body),
            Exchange::RetryGrant(delivery) => {
                self.on_retry_grant(cx, delivery, reply == PeerReply::Grant(true));
            }
            Exchange::ResendGrant(call) => {
                self.on_resend_grant(cx, call, reply == PeerReply::Grant(true));
            }
            Exchange::ForwardGrant(call) => {
                self.on_forward_grant(cx, call, reply == PeerReply::Grant(true));
            }
            Exchange::Seal(delivery) => self.on_seal_reply(cx, delivery, reply, body),
            Exchange::Forward(call) => self.on_forward_reply(cx, call, reply, body),
            Exchange::Handover => self.on_handover_reply(cx, &reply),
            Exchange::Notice => {}
        }
    }

    fn on_send_failed(&mut self, cx: &mut Cx<'_>, id: ExchangeId, failure: SendFailure) {
        let Some(why) = self.exchanges.remove(&id) else { return };
        match why {
            Exchange::Attempt(delivery) => self.on_attempt_failed(cx, delivery, failure),
            Exchange::RetryGrant(delivery) => self.on_retry_grant(cx, delivery, false),
            Exchange::ResendGrant(call) => self.on_resend_grant(cx, call, false),
            Exchange::ForwardGrant(call) => self.on_forward_grant(cx, call, false),
            Exchange::Seal(delivery) => self.pause_seal(cx, delivery),
            Exchange::Forward(call) => self.on_forward_failed(cx, call),
            Exchange::Handover => self.on_handover_failed(cx),
            Exchange::Notice => {}
        }
    }

    pub(super) fn on_timer(&mut self, cx: &mut Cx<'_>, timer: Timer) {
        match timer {
            Timer::CallDeadline(call) => self.on_call_deadline(cx, call),
            Timer::ReplyOverdue(delivery) => self.on_reply_overdue(cx, delivery),
            Timer::AskSeal(delivery) => self.on_seal_pause_ended(cx, delivery),
            Timer::GrantTimeout(exchange) => self.on_grant_timeout(cx, exchange),
            Timer::SealTimeout(exchange) => self.on_seal_timeout(cx, exchange),
            Timer::ParkedDeadline(stream) => self.on_parked_deadline(cx, stream),
            Timer::SuspectWait(stream) => self.on_suspect_wait(cx, stream),
            Timer::SpreadSuspicion => self.spread_suspicion(cx),
            Timer::HandoverPause(call) => self.on_handover_pause(cx, call),
            Timer::Linger => self.has_lingered = true,
            Timer::DrainQueue => self.refuse_queue(cx),
        }
    }
}
