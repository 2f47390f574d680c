use super::*;

/// Messages between nodes, subject to the network faults.
impl Simulation {
    pub(super) fn send(
        &mut self,
        exchange: GlobalExchangeId,
        to: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) {
        let peer = self.machines.iter().position(|it| it.id.addr == to.addr).unwrap();
        if let PeerRequest::Attempt(head) = &req {
            let chain = self.history.attempts.entry(head.chain).or_default();
            *chain.entry(body.clone()).or_default() += 1;
            assert_eq!(head.id.sender, self.machines[exchange.0].id);
        }
        self.open_exchanges.insert(exchange, peer);
        let faults = self.faults.clone();
        let arrive = Scheduled::Arrive { exchange, to, req, body };
        if self.is_cut(exchange.0, peer) || self.chance(faults.request_loss) {
            self.schedule_in(50..1_000, Scheduled::Fail(exchange, SendFailure::Lost));
        } else if self.chance(faults.not_sent) {
            self.schedule_in(0..50, Scheduled::Fail(exchange, SendFailure::NotSent));
        } else if self.chance(faults.late) {
            self.schedule_in(10..500, Scheduled::Fail(exchange, SendFailure::Lost));
            self.schedule_in(10..3_000, arrive);
        } else {
            if self.chance(faults.duplicate) {
                self.schedule_in(1..500, arrive.clone());
            }
            self.schedule_in(1..25, arrive);
        }
    }

    pub(super) fn arrive(
        &mut self,
        exchange: GlobalExchangeId,
        to: NodeId,
        req: PeerRequest,
        body: Bytes,
    ) {
        let index = self.machines.iter().position(|it| it.id.addr == to.addr).unwrap();
        if self.machines[index].policy.is_none() {
            return self.schedule_in(1..25, Scheduled::Fail(exchange, SendFailure::NotSent));
        }
        if self.machines[index].id != to {
            let reply = PeerReply::Refused(ErrorKind::WrongIncarnation);
            return self.schedule_in(1..25, Scheduled::Reply(exchange, reply, Bytes::new()));
        }
        let stream = self.allocate_id();
        self.streams.insert((index, to.incarnation, stream), exchange);
        if let PeerRequest::Attempt(head) = &req {
            self.attempts.insert((index, to.incarnation, stream), head.id);
            self.arrivals.insert(head.id, (self.now, body.clone()));
        }
        if self.machines[index].frozen {
            self.schedule_at(
                self.now + FROZEN_SEND_TIMEOUT,
                Scheduled::Fail(exchange, SendFailure::Lost),
            );
        }
        let from = self.machines[exchange.0].id;
        let from = NodeId { incarnation: exchange.1, ..from };
        self.deliver(index, to.incarnation, Event::Request { stream, from, req, body });
    }

    pub(super) fn reply(&mut self, stream: (usize, u64, StreamId), reply: PeerReply, body: Bytes) {
        let Some(exchange) = self.streams.remove(&stream) else { return };
        self.record_shed(stream, &reply);
        let is_lost = self.is_cut(stream.0, exchange.0) || self.chance(self.faults.reply_loss);
        if is_lost {
            self.schedule_in(50..1_000, Scheduled::Fail(exchange, SendFailure::Lost));
        } else {
            self.schedule_in(1..25, Scheduled::Reply(exchange, reply, body));
        }
    }

    pub(super) fn record_shed(&mut self, stream: (usize, u64, StreamId), reply: &PeerReply) {
        let PeerReply::Attempt(answer, _) = reply else { return };
        let is_shed = matches!(
            answer.error,
            Some(ErrorKind::Overloaded | ErrorKind::QueueFull | ErrorKind::DeadlineTooShort)
        );
        let arrival = self.attempts.remove(&stream).and_then(|it| self.arrivals.get(&it));
        let Some((arrived, body)) = arrival.filter(|_| is_shed) else { return };
        if body.starts_with(b"charge") {
            self.history.charge_sheds.push((stream.0, *arrived, self.now));
        }
    }

    pub(super) fn cancel_send(&mut self, exchange: GlobalExchangeId) {
        self.open_exchanges.remove(&exchange);
        let streams: Vec<_> = self
            .streams
            .iter()
            .filter(|(_, it)| **it == exchange)
            .map(|(stream, _)| *stream)
            .collect();
        for (index, incarnation, stream) in streams {
            if !self.chance(self.faults.request_loss) {
                let event = Event::RequestCancelled(stream);
                self.schedule_in(1..25, Scheduled::Event(index, incarnation, event));
            }
        }
    }
}
