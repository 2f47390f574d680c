use bytes::Bytes;

use super::cx::Cx;
use super::delivery::{DeliveryId, DeliveryStage};
use super::exchange::Exchange;
use super::node::Node;
use super::timers::Timer;
use crate::answer::ErrorKind;
use crate::id::{AttemptId, NodeId, StreamId};
use crate::message::{PeerReply, PeerRequest, SealReply};
use crate::once::Fate;

/// Attempts whose reply was lost: the home asks, the gate seals.
impl Node {
    /// Asks the gate to seal the last attempt of a delivery, or to say what became of it.
    pub(super) fn ask_seal(&mut self, cx: &mut Cx<'_>, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get(&id) else { return };
        if let DeliveryStage::AskingSeal(_) = delivery.stage {
            return;
        }
        let Some((attempt, node)) = delivery.attempt else { return };
        if self.is_out_of_time(cx.now, delivery.owner) {
            return self.end_with_error(cx, id, ErrorKind::OutcomeUnknown, None);
        }
        let req = PeerRequest::Seal(attempt);
        let exchange = self.send(cx, Exchange::Seal(id), node, req, Bytes::new());
        self.set_stage(id, DeliveryStage::AskingSeal(exchange));
        self.timers.set(cx.now + self.cfg.seal_timeout, Timer::SealTimeout(exchange));
    }

    /// Asks again later: the attempt runs or the gate cannot be reached.
    pub(super) fn pause_seal(&mut self, cx: &mut Cx<'_>, id: DeliveryId) {
        self.set_stage(id, DeliveryStage::SealPause);
        self.timers.set(cx.now + self.cfg.seal_interval, Timer::AskSeal(id));
    }

    pub(super) fn on_seal_pause_ended(&mut self, cx: &mut Cx<'_>, id: DeliveryId) {
        if self.deliveries.get(&id).is_some_and(|it| it.stage == DeliveryStage::SealPause) {
            self.ask_seal(cx, id);
        }
    }

    pub(super) fn on_seal_timeout(&mut self, cx: &mut Cx<'_>, exchange: u64) {
        let Some(&Exchange::Seal(id)) = self.exchanges.get(&exchange) else { return };
        self.cancel_exchange(cx, exchange);
        self.pause_seal(cx, id);
    }

    pub(super) fn on_seal_reply(
        &mut self,
        cx: &mut Cx<'_>,
        id: DeliveryId,
        reply: PeerReply,
        body: Bytes,
    ) {
        match reply {
            PeerReply::Seal(SealReply::Sealed) => {
                self.retry_or_end(cx, id, ErrorKind::TargetUnreachable, None);
            }
            PeerReply::Seal(SealReply::Ended(answer)) => self.on_answer(cx, id, answer, body),
            PeerReply::Seal(SealReply::Lost) | PeerReply::Refused(ErrorKind::WrongIncarnation) => {
                self.end_with_error(cx, id, ErrorKind::OutcomeUnknown, None);
            }
            _ => self.pause_seal(cx, id),
        }
    }

    /// Gives up on attempts whose gate is gone: their outcome stays unknown.
    pub(super) fn give_up_seals(&mut self, cx: &mut Cx<'_>, gone: &[NodeId]) {
        let asking = self.deliveries.iter().filter_map(|(id, it)| {
            let (_, node) = it.attempt?;
            match it.stage {
                DeliveryStage::AskingSeal(exchange) => Some((*id, node, Some(exchange))),
                DeliveryStage::SealPause => Some((*id, node, None)),
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

    /// Seals an attempt for its sender, or says what became of it.
    pub(super) fn on_seal(
        &mut self,
        cx: &mut Cx<'_>,
        stream: StreamId,
        from: NodeId,
        id: AttemptId,
    ) {
        if from != id.sender {
            return cx.reply(stream, PeerReply::Refused(ErrorKind::KeyForeign));
        }
        self.refuse_waiting(cx, id);
        let (reply, body) = match self.seals.seal(id) {
            Fate::Sealed(_) => (SealReply::Sealed, Bytes::new()),
            Fate::Waiting | Fate::Running => (SealReply::Running, Bytes::new()),
            Fate::Ended(answer, body) => (SealReply::Ended(answer), body),
            Fate::Lost => (SealReply::Lost, Bytes::new()),
        };
        cx.push(crate::policy::Action::Reply(stream, PeerReply::Seal(reply), body));
    }
}
