use bytes::Bytes;

use super::cx::Cx;
use super::exchange::Exchange;
use super::node::Node;
use super::open_call::CallStage;
use super::request::Request;
use crate::answer::{Answer, ErrorKind};
use crate::id::{CallId, NodeId, RequestKey, StreamId};
use crate::message::{ForwardHead, PeerReply, PeerRequest};
use crate::once::Waiter;
use crate::policy::Action;

/// Keyed requests between the entry and the home.
impl Node {
    /// Takes a keyed call to its home.
    pub(super) fn forward(
        &mut self,
        cx: &mut Cx<'_>,
        id: CallId,
        key: RequestKey,
        to: NodeId,
        req: &Request,
    ) {
        let head = PeerRequest::Forward(req.forward_head(cx.now, key));
        let exchange = self.send(cx, Exchange::Forward(id), to, head, req.body.clone());
        self.set_call_stage(id, CallStage::Forwarded(exchange));
    }

    pub(super) fn on_forward_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: CallId,
        reply: PeerReply,
        body: Bytes,
    ) {
        match reply {
            PeerReply::Forward(answer) => self.answer_call(cx, id, answer, body),
            PeerReply::Refused(ErrorKind::QueueFull) => {
                let answer = Answer::from_error(ErrorKind::QueueFull, None).unsure();
                self.answer_call(cx, id, answer, Bytes::new());
            }
            _ => self.home_gone(cx, id),
        }
    }

    /// Sends the call to its home again, if the chain may have a retry. The home runs it once,
    /// however often it arrives.
    pub(super) fn on_forward_failed(&mut self, cx: &mut Cx<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (chain, service) = (call.req.chain, call.req.service.clone());
        if call.successors.is_some() {
            return self.home_gone(cx, id);
        }
        if self.take_service_retry(cx.now, &service) {
            self.ask_grant(cx, chain, Exchange::ForwardGrant(id));
        } else {
            self.home_gone(cx, id);
        }
    }

    pub(super) fn on_forward_grant(&mut self, cx: &mut Cx<'_>, id: CallId, granted: bool) {
        if granted {
            self.proceed(cx, id);
        } else {
            self.home_gone(cx, id);
        }
    }

    /// An earlier send of the same request may have reached the home, so the outcome is unknown
    /// even if this one has not.
    pub(super) fn home_gone(&mut self, cx: &mut Cx<'_>, id: CallId) {
        if self.try_successor(cx, id) {
            return;
        }
        let answer = Answer::from_error(ErrorKind::HomeGone, None);
        self.answer_call(cx, id, answer, Bytes::new());
    }

    /// Decides as home about a request that another entry forwards.
    pub(super) fn on_forward(
        &mut self,
        cx: &mut Cx<'_>,
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
        self.forwards.insert(stream, key);
        self.decide(cx, Waiter::Stream(stream), key, req);
    }

    pub(super) fn answer_waiter(
        &mut self,
        cx: &mut Cx<'_>,
        waiter: Waiter,
        answer: Answer,
        body: Bytes,
    ) {
        match waiter {
            Waiter::Call(id) => self.answer_call(cx, id, answer, body),
            Waiter::Stream(stream) => {
                self.forwards.remove(&stream);
                cx.push(Action::Reply(stream, PeerReply::Forward(answer), body));
            }
        }
    }
}
