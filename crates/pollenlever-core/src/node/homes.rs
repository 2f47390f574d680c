use bytes::Bytes;

use super::cx::Cx;
use super::delivery::{Delivery, Owner};
use super::node::Node;
use super::open_call::CallStage;
use super::request::Request;
use crate::Timestamp;
use crate::answer::{Answer, ErrorKind};
use crate::id::{NodeId, RequestKey};
use crate::message::PeerReply;
use crate::once::{Home, HomeRecord, KeyMint, RecordState, Waiter};

/// Home: decides which target runs a keyed request and keeps its answer.
impl Node {
    /// The home of a key, if this node decides about it.
    pub(super) fn home_mut(&mut self, id: NodeId) -> Option<&mut Home> {
        if id == self.me && self.has_stopped {
            return None;
        }
        self.kept_home_mut(id)
    }

    /// The home of a key, also after this node has stopped deciding.
    fn kept_home_mut(&mut self, id: NodeId) -> Option<&mut Home> {
        if id == self.me { Some(&mut self.own) } else { self.inherited.get_mut(&id) }
    }

    fn record_mut(&mut self, key: RequestKey) -> Option<&mut HomeRecord> {
        self.kept_home_mut(key.home)?.table.get_mut(key)
    }

    /// Answers a keyed request from its record, or begins to deliver it.
    pub(super) fn decide(
        &mut self,
        cx: &mut Cx<'_>,
        waiter: Waiter,
        key: RequestKey,
        req: Request,
    ) {
        if let Waiter::Call(id) = waiter {
            self.set_call_stage(id, CallStage::AtHome);
        }
        if let Some(record) = self.record_mut(key) {
            if record.digest != req.digest {
                return self.refuse_waiter(cx, waiter, ErrorKind::KeyReused);
            }
            return match record.state.clone() {
                RecordState::Running => record.waiters.push(waiter),
                RecordState::Ended(answer, body) => self.answer_waiter(cx, waiter, answer, body),
            };
        }
        if key.home == self.me && self.has_lingered {
            return self.send_to_successor(cx, waiter);
        }
        match self.key_expiry(cx.now, key, &req) {
            Ok(expires) => self.begin_record(cx, waiter, key, req, expires),
            Err(err) => self.refuse_waiter(cx, waiter, err),
        }
    }

    /// Leaves a new request to the node that takes over from this one.
    fn send_to_successor(&mut self, cx: &mut Cx<'_>, waiter: Waiter) {
        match waiter {
            Waiter::Call(id) => self.home_gone(cx, id),
            Waiter::Stream(stream) => {
                self.forwards.remove(&stream);
                cx.reply(stream, PeerReply::Refused(ErrorKind::WrongIncarnation));
            }
        }
    }

    /// Checks a key that has no record. Returns until when its record is kept.
    fn key_expiry(
        &mut self,
        now: Timestamp,
        key: RequestKey,
        req: &Request,
    ) -> Result<Timestamp, ErrorKind> {
        if key == KeyMint::derive(req.chain, req.digest) {
            return self.ledger.expiry(now, req.chain).ok_or(ErrorKind::KeyExpired);
        }
        let cfg = self.services.get(&req.service).ok_or(ErrorKind::NoConfiguration)?;
        let expires = key.minted_at() + cfg.retention;
        let home = self.home_mut(key.home).ok_or(ErrorKind::HomeGone)?;
        if !home.mint.is_own(key) {
            return Err(ErrorKind::KeyForeign);
        }
        if expires <= home.clock(now) || home.table.is_dropped(&req.service, key) {
            return Err(ErrorKind::KeyExpired);
        }
        Ok(expires)
    }

    fn begin_record(
        &mut self,
        cx: &mut Cx<'_>,
        waiter: Waiter,
        key: RequestKey,
        req: Request,
        expires: Timestamp,
    ) {
        let delivery = self.draw_id();
        let record = HomeRecord {
            service: req.service.clone(),
            digest: req.digest,
            state: RecordState::Running,
            waiters: vec![waiter],
            expires,
        };
        if let Some(home) = self.home_mut(key.home) {
            home.table.insert(key, record);
        }
        self.deliveries.insert(delivery, Delivery::new(Owner::Record(key), req));
        self.try_attempt(cx, delivery);
    }

    /// Ends a record for good and answers everybody who waits.
    pub(super) fn end_record(
        &mut self,
        cx: &mut Cx<'_>,
        key: RequestKey,
        answer: Answer,
        body: Bytes,
    ) {
        let Some(record) = self.record_mut(key) else { return };
        record.state = RecordState::Ended(answer.clone(), body.clone());
        for waiter in std::mem::take(&mut record.waiters) {
            self.answer_waiter(cx, waiter, answer.clone(), body.clone());
        }
    }

    /// Forgets a waiter that has hung up. The request goes on.
    pub(super) fn remove_waiter(&mut self, key: RequestKey, waiter: Waiter) {
        if let Some(record) = self.record_mut(key) {
            record.waiters.retain(|it| *it != waiter);
        }
    }

    /// Whether the time in which a lost attempt may be asked after is over.
    pub(super) fn is_out_of_time(&mut self, now: Timestamp, owner: Owner) -> bool {
        let Owner::Record(key) = owner else { return true };
        let Some(home) = self.home_mut(key.home) else { return true };
        let clock = home.clock(now);
        home.table.get_mut(key).is_none_or(|it| it.expires <= clock)
    }

    fn refuse_waiter(&mut self, cx: &mut Cx<'_>, waiter: Waiter, err: ErrorKind) {
        self.answer_waiter(cx, waiter, Answer::from_error(err, None), Bytes::new());
    }
}
