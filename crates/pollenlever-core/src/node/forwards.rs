use bytes::Bytes;

use super::context::Context;
use super::exchange_purpose::ExchangePurpose;
use super::node::Node;
use super::open_call::CallStage;
use super::request::Request;
use crate::answer::{Answer, ErrorKind};
use crate::id::{CallId, NodeId, RequestKey, StreamId};
use crate::message::{ForwardHead, PeerReply, PeerRequest};
use crate::once::Waiter;
use crate::policy::Action;

/// Keyed requests that an entry forwards to their home.
impl Node {
    /// Forwards a keyed call to its home or to a possible successor of it.
    pub(super) fn forward(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        key: RequestKey,
        to: NodeId,
        req: &Request,
    ) {
        let head = PeerRequest::Forward(req.forward_head(cx.now, key));
        let exchange = self.send(cx, ExchangePurpose::Forward(id), to, head, req.body.clone());
        self.set_call_stage(id, CallStage::Forwarded(exchange));
    }

    pub(super) fn on_forward_reply(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        reply: PeerReply,
        body: Bytes,
    ) {
        match reply {
            PeerReply::Forward(answer) => self.answer_call(cx, id, answer, body),
            PeerReply::Refused(ErrorKind::QueueFull) => {
                let answer = Answer::from_error(ErrorKind::QueueFull, None).with_unknown_outcome();
                self.answer_call(cx, id, answer, Bytes::new());
            }
            _ => self.on_home_gone(cx, id),
        }
    }

    /// Forwards the call to its home again if a retry is granted. The home runs the request once,
    /// however often it arrives.
    pub(super) fn on_forward_failed(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (chain, service) = (call.req.chain, call.req.service.clone());
        if call.successors.is_some() {
            return self.on_home_gone(cx, id);
        }
        if self.take_service_retry(cx.now, &service) {
            self.request_grant(cx, chain, ExchangePurpose::ForwardGrant(id));
        } else {
            self.on_home_gone(cx, id);
        }
    }

    pub(super) fn on_forward_grant(&mut self, cx: &mut Context<'_>, id: CallId, granted: bool) {
        if granted {
            self.continue_call(cx, id);
        } else {
            self.on_home_gone(cx, id);
        }
    }

    /// Tries a successor of the home, or ends the call. The outcome is then unknown: an earlier send
    /// of the request may have reached the home even if this one did not.
    pub(super) fn on_home_gone(&mut self, cx: &mut Context<'_>, id: CallId) {
        if self.try_successor(cx, id) {
            return;
        }
        let answer = Answer::from_error(ErrorKind::HomeGone, None);
        self.answer_call(cx, id, answer, Bytes::new());
    }

    /// Handles, as home, a request that another entry forwards.
    pub(super) fn on_forward(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        head: ForwardHead,
        body: Bytes,
    ) {
        let key = head.key;
        if self.home_mut(key.home).is_none() {
            return cx.reply(stream, PeerReply::Refused(ErrorKind::WrongIncarnation));
        }
        let cfg = self.services.get(&head.service);
        let kind = cfg.and_then(|it| it.kind_of(&head.method, &head.path).ok());
        let Some(kind) = kind else {
            return cx.reply(stream, PeerReply::Refused(ErrorKind::NoConfiguration));
        };
        let req = Request::from_forward(cx.now, head, kind, body);
        self.forwarded_keys.insert(stream, key);
        self.handle_keyed_request(cx, Waiter::Stream(stream), key, req);
    }

    pub(super) fn answer_waiter(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        answer: Answer,
        body: Bytes,
    ) {
        match waiter {
            Waiter::Call(id) => self.answer_call(cx, id, answer, body),
            Waiter::Stream(stream) => {
                self.forwarded_keys.remove(&stream);
                cx.push(Action::Reply(stream, PeerReply::Forward(answer), body));
            }
        }
    }
}
