use super::*;

/// Messages between nodes, with what the faults do to them.
impl World {
    pub(super) fn send(&mut self, wire: Wire, to: NodeId, req: PeerRequest, body: Bytes) {
        let peer = self.machines.iter().position(|it| it.id.addr == to.addr).unwrap();
        if let PeerRequest::Attempt(head) = &req {
            let chain = self.history.attempts.entry(head.chain).or_default();
            *chain.entry(body.clone()).or_default() += 1;
            assert_eq!(head.id.sender, self.machines[wire.0].id);
        }
        self.open.insert(wire, peer);
        let faults = self.faults.clone();
        let arrive = Item::Arrive { wire, to, req, body };
        if self.is_cut(wire.0, peer) || self.chance(faults.loss) {
            self.push_in(50..1_000, Item::Fail(wire, SendFailure::Lost));
        } else if self.chance(faults.untouched) {
            self.push_in(0..50, Item::Fail(wire, SendFailure::Untouched));
        } else if self.chance(faults.late) {
            self.push_in(10..500, Item::Fail(wire, SendFailure::Lost));
            self.push_in(10..3_000, arrive);
        } else {
            if self.chance(faults.dup) {
                self.push_in(1..500, arrive.clone());
            }
            self.push_in(1..25, arrive);
        }
    }

    pub(super) fn arrive(&mut self, wire: Wire, to: NodeId, req: PeerRequest, body: Bytes) {
        let index = self.machines.iter().position(|it| it.id.addr == to.addr).unwrap();
        if self.machines[index].policy.is_none() {
            return self.push_in(1..25, Item::Fail(wire, SendFailure::Untouched));
        }
        if self.machines[index].id != to {
            let reply = PeerReply::Refused(ErrorKind::WrongIncarnation);
            return self.push_in(1..25, Item::Reply(wire, reply, Bytes::new()));
        }
        let stream = self.draw_id();
        self.streams.insert((index, to.incarnation, stream), wire);
        if let PeerRequest::Attempt(head) = &req {
            self.attempts.insert((index, to.incarnation, stream), head.id);
            self.arrivals.insert(head.id, (self.now, body.clone()));
        }
        if self.machines[index].frozen {
            self.push_at(self.now + SILENCE, Item::Fail(wire, SendFailure::Lost));
        }
        let from = self.machines[wire.0].id;
        let from = NodeId { incarnation: wire.1, ..from };
        self.deliver(index, to.incarnation, Event::Request { stream, from, req, body });
    }

    pub(super) fn reply(&mut self, stream: (usize, u64, StreamId), reply: PeerReply, body: Bytes) {
        let Some(wire) = self.streams.remove(&stream) else { return };
        self.note_shed(stream, &reply);
        let is_lost = self.is_cut(stream.0, wire.0) || self.chance(self.faults.reply_loss);
        if is_lost {
            self.push_in(50..1_000, Item::Fail(wire, SendFailure::Lost));
        } else {
            self.push_in(1..25, Item::Reply(wire, reply, body));
        }
    }

    pub(super) fn note_shed(&mut self, stream: (usize, u64, StreamId), reply: &PeerReply) {
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

    pub(super) fn cancel_send(&mut self, wire: Wire) {
        self.open.remove(&wire);
        let streams: Vec<_> =
            self.streams.iter().filter(|(_, it)| **it == wire).map(|(stream, _)| *stream).collect();
        for (index, incarnation, stream) in streams {
            if !self.chance(self.faults.loss) {
                let event = Event::RequestCancelled(stream);
                self.push_in(1..25, Item::Event(index, incarnation, event));
            }
        }
    }
}
