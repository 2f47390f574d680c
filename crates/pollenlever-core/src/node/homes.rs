use bytes::Bytes;

use super::cx::Cx;
use super::delivery::{Delivery, Owner};
use super::node::Node;
use super::open_call::CallStage;
use super::request::Request;
use crate::Timestamp;
use crate::answer::{Answer, ErrorKind};
use crate::id::RequestKey;
use crate::once::{HomeRecord, KeyMint, RecordState, Waiter};

/// Home: decides which target runs a keyed request and keeps its answer.
impl Node {
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
        if let Some(record) = self.homes.get_mut(key) {
            if record.digest != req.digest {
                return self.refuse_waiter(cx, waiter, ErrorKind::KeyReused);
            }
            return match record.state.clone() {
                RecordState::Running => record.waiters.push(waiter),
                RecordState::Ended(answer, body) => self.answer_waiter(cx, waiter, answer, body),
            };
        }
        match self.key_expiry(cx.now, key, &req) {
            Ok(expires) => self.begin_record(cx, waiter, key, req, expires),
            Err(err) => self.refuse_waiter(cx, waiter, err),
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
        if !self.mint.is_own(key) {
            return Err(ErrorKind::KeyForeign);
        }
        let cfg = self.services.get(&req.service).ok_or(ErrorKind::NoConfiguration)?;
        let expires = key.minted_at() + cfg.retention;
        if expires <= now || self.homes.is_dropped(&req.service, key) {
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
        self.homes.insert(key, record);
        self.deliveries.insert(delivery, Delivery::new(Owner::Record(key), req));
        if self.leaving {
            return self.end_with_error(cx, delivery, ErrorKind::Leaving, None);
        }
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
        let Some(record) = self.homes.get_mut(key) else { return };
        record.state = RecordState::Ended(answer.clone(), body.clone());
        for waiter in std::mem::take(&mut record.waiters) {
            self.answer_waiter(cx, waiter, answer.clone(), body.clone());
        }
    }

    /// Forgets a waiter that has hung up. The request goes on.
    pub(super) fn remove_waiter(&mut self, key: RequestKey, waiter: Waiter) {
        if let Some(record) = self.homes.get_mut(key) {
            record.waiters.retain(|it| *it != waiter);
        }
    }

    /// Whether the time in which a lost attempt may be asked after is over.
    pub(super) fn is_out_of_time(&mut self, now: Timestamp, owner: Owner) -> bool {
        match owner {
            Owner::Record(key) => self.homes.get_mut(key).is_none_or(|it| it.expires <= now),
            Owner::Call(_) => true,
        }
    }

    fn refuse_waiter(&mut self, cx: &mut Cx<'_>, waiter: Waiter, err: ErrorKind) {
        self.answer_waiter(cx, waiter, Answer::from_error(err, None), Bytes::new());
    }
}
