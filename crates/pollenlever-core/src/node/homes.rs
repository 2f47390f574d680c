use bytes::Bytes;

use super::context::Context;
use super::delivery::{Delivery, Owner};
use super::node::Node;
use super::open_call::CallStage;
use super::request::Request;
use crate::Timestamp;
use crate::answer::{Answer, ErrorKind};
use crate::id::{NodeId, RequestKey};
use crate::message::PeerReply;
use crate::once::{Home, HomeRecord, KeyMint, RecordState, Waiter};

/// Home: has a keyed request run at most once and keeps its answer.
impl Node {
    /// The home with this id, if this node still accepts its requests.
    pub(super) fn home_mut(&mut self, id: NodeId) -> Option<&mut Home> {
        if id == self.me && self.has_stopped_deciding {
            return None;
        }
        self.stored_home_mut(id)
    }

    /// The home with this id, also after this node has stopped deciding as a home.
    fn stored_home_mut(&mut self, id: NodeId) -> Option<&mut Home> {
        if id == self.me { Some(&mut self.own_home) } else { self.inherited_homes.get_mut(&id) }
    }

    fn record_mut(&mut self, key: RequestKey) -> Option<&mut HomeRecord> {
        self.stored_home_mut(key.home)?.table.get_mut(key)
    }

    /// Answers a keyed request from its record, or creates a record and delivers the request.
    pub(super) fn handle_keyed_request(
        &mut self,
        cx: &mut Context<'_>,
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
        if key.home == self.me && self.has_leave_notice_ended {
            return self.send_to_successor(cx, waiter);
        }
        match self.key_expiry(cx.now, key, &req) {
            Ok(expires) => self.create_record(cx, waiter, key, req, expires),
            Err(err) => self.refuse_waiter(cx, waiter, err),
        }
    }

    /// Directs a new request to the node that takes over from this one.
    fn send_to_successor(&mut self, cx: &mut Context<'_>, waiter: Waiter) {
        match waiter {
            Waiter::Call(id) => self.on_home_gone(cx, id),
            Waiter::Stream(stream) => {
                self.forwarded_keys.remove(&stream);
                cx.reply(stream, PeerReply::Refused(ErrorKind::WrongIncarnation));
            }
        }
    }

    /// Validates a key that has no record. Returns the time at which its record will expire.
    fn key_expiry(
        &mut self,
        now: Timestamp,
        key: RequestKey,
        req: &Request,
    ) -> Result<Timestamp, ErrorKind> {
        if key == KeyMint::derive(req.chain, req.digest) {
            return self
                .chain_retry_budgets
                .expires_at(now, req.chain)
                .ok_or(ErrorKind::KeyExpired);
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

    fn create_record(
        &mut self,
        cx: &mut Context<'_>,
        waiter: Waiter,
        key: RequestKey,
        req: Request,
        expires: Timestamp,
    ) {
        let delivery = self.allocate_id();
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

    /// Stores the final answer in a record and answers all its waiters.
    pub(super) fn end_record(
        &mut self,
        cx: &mut Context<'_>,
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

    /// Removes a waiter that has hung up. The request continues.
    pub(super) fn remove_waiter(&mut self, key: RequestKey, waiter: Waiter) {
        if let Some(record) = self.record_mut(key) {
            record.waiters.retain(|it| *it != waiter);
        }
    }

    /// Whether a lost attempt may no longer be sealed: the request has no key, its record has expired,
    /// or this node has stopped deciding as its home.
    pub(super) fn is_seal_window_over(&mut self, now: Timestamp, owner: Owner) -> bool {
        let Owner::Record(key) = owner else { return true };
        let Some(home) = self.home_mut(key.home) else { return true };
        let clock = home.clock(now);
        home.table.get_mut(key).is_none_or(|it| it.expires <= clock)
    }

    fn refuse_waiter(&mut self, cx: &mut Context<'_>, waiter: Waiter, err: ErrorKind) {
        self.answer_waiter(cx, waiter, Answer::from_error(err, None), Bytes::new());
    }
}
