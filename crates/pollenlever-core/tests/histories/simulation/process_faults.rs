use super::*;

/// Faults of processes and links, and leaving nodes.
impl Simulation {
    pub(super) fn apply_fault(&mut self, fault: FaultEvent) {
        match fault {
            FaultEvent::Kill(index) => self.kill(index),
            FaultEvent::KillIfAlive(index, incarnation) => {
                if self.machines[index].id.incarnation == incarnation {
                    self.kill(index);
                }
            }
            FaultEvent::Restart(index) => self.start_node(index),
            FaultEvent::Freeze(index, len) => {
                self.machines[index].frozen = self.machines[index].policy.is_some();
                self.schedule_at(
                    self.now + len,
                    Scheduled::FaultEvent(FaultEvent::Unfreeze(index)),
                );
                if self.chance(0.5) {
                    let gone = Event::MembersRemoved(vec![self.machines[index].id]);
                    self.broadcast(index, &gone);
                }
            }
            FaultEvent::Unfreeze(index) => self.unfreeze(index),
            FaultEvent::CrashTarget(index) => self.crash_target(index),
            FaultEvent::Cut { from, to, until } => self.cuts.push((from, to, until)),
            FaultEvent::Leave(index) => {
                let incarnation = self.machines[index].id.incarnation;
                self.history.leave_requests.insert((index, incarnation), self.now);
                let member = self.machines[index].member(index, 2);
                let leaving = Member { state: TargetState::Leaving, ..member };
                self.broadcast(index, &Event::MembersUpdated(vec![leaving]));
                self.deliver(index, incarnation, Event::Leave);
                let kill = FaultEvent::KillIfAlive(index, incarnation);
                self.schedule_fault(self.now + LEAVE_GRACE, kill);
            }
        }
    }

    pub(super) fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if machine.policy.take().is_none() {
            return;
        }
        let id = machine.id;
        let asked_to_leave = self.history.leave_requests.contains_key(&(index, id.incarnation));
        let runs =
            self.runs.values().filter(|it| (it.machine, it.incarnation) == (index, id.incarnation));
        if asked_to_leave {
            self.history.interrupted_runs += runs.count() as u32;
        }
        let to_killed: Vec<GlobalExchangeId> = self
            .open_exchanges
            .iter()
            .filter(|(_, to)| **to == index)
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in to_killed {
            self.schedule_in(5..50, Scheduled::Fail(exchange, SendFailure::Lost));
        }
        let from_killed: Vec<GlobalExchangeId> = self
            .open_exchanges
            .keys()
            .filter(|it| (it.0, it.1) == (index, id.incarnation))
            .copied()
            .collect();
        for exchange in from_killed {
            self.cancel_send(exchange);
        }
        let calls: Vec<_> = self
            .calls
            .keys()
            .filter(|it| (it.0, it.1) == (index, id.incarnation))
            .copied()
            .collect();
        for call in calls {
            if let Some(Caller::Client(request)) = self.calls.remove(&call) {
                self.on_client_answer(request, None);
            }
        }
        self.broadcast(index, &Event::MembersRemoved(vec![id]));
        let at = self.now + Duration::from_millis(self.rng.random_range(300..3_000));
        self.schedule_fault(at, FaultEvent::Restart(index));
    }

    pub(super) fn start_node(&mut self, index: usize) {
        if self.machines[index].policy.is_some() {
            return;
        }
        self.machines[index].id.incarnation += MACHINES as u64;
        let id = self.machines[index].id;
        let policy = (self.make_policy)(self.seed, index, id);
        self.machines[index].restart(policy);
        let others = self.machines.iter().enumerate().filter(|(_, it)| it.policy.is_some());
        let members: Vec<_> = others.map(|(index, it)| it.member(index, 1)).collect();
        let slots = Some(5);
        let announce = TargetNotice::Announce { service: "charging".into(), slots, cold: false };
        for event in
            [Event::Config(config()), Event::Target(announce), Event::MembersUpdated(members)]
        {
            self.deliver(index, id.incarnation, event);
        }
        let member = self.machines[index].member(index, 1);
        self.broadcast(index, &Event::MembersUpdated(vec![member]));
    }

    pub(super) fn unfreeze(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if !machine.frozen {
            return;
        }
        machine.frozen = false;
        let incarnation = machine.id.incarnation;
        for event in std::mem::take(&mut machine.deferred_events) {
            self.deliver(index, incarnation, event);
        }
        let member = self.machines[index].member(index, 2);
        self.broadcast(index, &Event::MembersUpdated(vec![member]));
        self.schedule_tick(index);
    }

    pub(super) fn crash_target(&mut self, index: usize) {
        let crashed: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, it)| it.machine == index)
            .map(|(serial, _)| *serial)
            .collect();
        for serial in crashed {
            let Some(run) = self.runs.remove(&serial) else { continue };
            let event = Event::RunEnded(run.run, RunResult::Crashed);
            self.deliver(run.machine, run.incarnation, event);
        }
    }

    /// Delivers an event to all other nodes, to each after a random delay.
    pub(super) fn broadcast(&mut self, index: usize, event: &Event) {
        for other in (0..MACHINES).filter(|it| *it != index) {
            let incarnation = self.machines[other].id.incarnation;
            self.schedule_in(20..1_500, Scheduled::Event(other, incarnation, event.clone()));
        }
    }
}
