use bytes::Bytes;

use super::context::Context;
use super::delivery::{DeliveryId, DeliveryStage};
use super::exchange_purpose::ExchangePurpose;
use super::node::Node;
use super::timers::Timer;
use crate::answer::ErrorKind;
use crate::id::{AttemptId, NodeId, StreamId};
use crate::message::{PeerReply, PeerRequest, SealReply};
use crate::once::AttemptState;

/// Attempts whose reply was lost: the sender asks the gate to seal them.
impl Node {
    /// Asks the gate to seal the last attempt of a delivery, or to report its state.
    pub(super) fn request_seal(&mut self, cx: &mut Context<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if let DeliveryStage::AwaitingSeal(_) = delivery.stage {
            return;
        }
        let Some((attempt, node)) = delivery.attempt else { return };
        if self.is_seal_window_over(cx.now, delivery.owner) {
            return self.end_with_error(cx, id, ErrorKind::OutcomeUnknown, None);
        }
        let req = PeerRequest::Seal(attempt);
        let exchange = self.send(cx, ExchangePurpose::Seal(id), node, req, Bytes::new());
        self.set_stage(id, DeliveryStage::AwaitingSeal(exchange));
        self.timers.set(cx.now + self.cfg.seal_timeout, Timer::SealTimeout(exchange));
    }

    /// Schedules another seal request: the attempt is running or the gate is unreachable.
    pub(super) fn retry_seal_later(&mut self, cx: &mut Context<'_>, id: DeliveryId) {
        self.set_stage(id, DeliveryStage::SealBackoff);
        self.timers.set(cx.now + self.cfg.seal_retry_interval, Timer::RetrySeal(id));
    }

    pub(super) fn on_seal_retry(&mut self, cx: &mut Context<'_>, id: DeliveryId) {
        if self.deliveries.get(&id).is_some_and(|it| it.stage == DeliveryStage::SealBackoff) {
            self.request_seal(cx, id);
        }
    }

    pub(super) fn on_seal_timeout(&mut self, cx: &mut Context<'_>, exchange: u64) {
        let Some(&ExchangePurpose::Seal(id)) = self.exchanges.get(&exchange) else { return };
        self.cancel_exchange(cx, exchange);
        self.retry_seal_later(cx, id);
    }

    pub(super) fn on_seal_reply(
        &mut self,
        cx: &mut Context<'_>,
        id: DeliveryId,
        reply: PeerReply,
        body: Bytes,
    ) {
        match reply {
            PeerReply::Seal(SealReply::Sealed) => {
                self.retry_or_end(cx, id, ErrorKind::TargetUnreachable, None);
            }
            PeerReply::Seal(SealReply::Ended(answer)) => self.on_answer(cx, id, answer, body),
            PeerReply::Seal(SealReply::Unknown)
            | PeerReply::Refused(ErrorKind::WrongIncarnation) => {
                self.end_with_error(cx, id, ErrorKind::OutcomeUnknown, None);
            }
            _ => self.retry_seal_later(cx, id),
        }
    }

    /// Ends the deliveries that are waiting for a seal from gone gates with an unknown outcome.
    pub(super) fn abandon_seals(&mut self, cx: &mut Context<'_>, gone: &[NodeId]) {
        let asking = self.deliveries.iter().filter_map(|(id, it)| {
            let (_, node) = it.attempt?;
            match it.stage {
                DeliveryStage::AwaitingSeal(exchange) => Some((*id, node, Some(exchange))),
                DeliveryStage::SealBackoff => Some((*id, node, None)),
                _ => None,
            }
        });
        let lost: Vec<_> = asking.filter(|(_, node, _)| gone.contains(node)).collect();
        for (id, _, exchange) in lost {
            if let Some(exchange) = exchange {
                self.cancel_exchange(cx, exchange);
            }
            self.end_with_error(cx, id, ErrorKind::OutcomeUnknown, None);
        }
    }

    /// Seals an attempt at the request of its sender, or replies with its state.
    pub(super) fn on_seal(
        &mut self,
        cx: &mut Context<'_>,
        stream: StreamId,
        from: NodeId,
        id: AttemptId,
    ) {
        if from != id.sender {
            return cx.reply(stream, PeerReply::Refused(ErrorKind::KeyForeign));
        }
        self.refuse_waiting(cx, id);
        let (reply, body) = match self.seals.seal(id) {
            AttemptState::Sealed(_) => (SealReply::Sealed, Bytes::new()),
            AttemptState::Waiting | AttemptState::Running => (SealReply::Running, Bytes::new()),
            AttemptState::Ended(answer, body) => (SealReply::Ended(answer), body),
            AttemptState::Unknown => (SealReply::Unknown, Bytes::new()),
        };
        cx.push(crate::policy::Action::Reply(stream, PeerReply::Seal(reply), body));
    }
}
