use super::*;

/// Kills, freezes, crashes and cuts.
impl World {
    pub(super) fn strike(&mut self, strike: Strike) {
        match strike {
            Strike::Kill(index) => self.kill(index),
            Strike::KillIfAlive(index, incarnation) => {
                if self.machines[index].id.incarnation == incarnation {
                    self.kill(index);
                }
            }
            Strike::Restart(index) => self.start_node(index),
            Strike::Freeze(index, len) => {
                self.machines[index].frozen = self.machines[index].policy.is_some();
                self.push_at(self.now + len, Item::Strike(Strike::Thaw(index)));
                if self.chance(0.5) {
                    let gone = Event::MembersGone(vec![self.machines[index].id]);
                    self.tell_others(index, &gone);
                }
            }
            Strike::Thaw(index) => self.thaw(index),
            Strike::CrashTarget(index) => self.crash_target(index),
            Strike::Cut { from, to, until } => self.cuts.push((from, to, until)),
            Strike::Leave(index) => {
                let incarnation = self.machines[index].id.incarnation;
                self.history.leaves.insert((index, incarnation), self.now);
                let member = self.machines[index].member(index, 2);
                let leaving = Member { state: TargetState::Leaving, ..member };
                self.tell_others(index, &Event::MembersUp(vec![leaving]));
                self.deliver(index, incarnation, Event::Leave);
                let kill = Strike::KillIfAlive(index, incarnation);
                self.strike_at(self.now + LEAVE_GRACE, kill);
            }
        }
    }

    pub(super) fn kill(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if machine.policy.take().is_none() {
            return;
        }
        let id = machine.id;
        let asked_to_leave = self.history.leaves.contains_key(&(index, id.incarnation));
        let runs =
            self.runs.values().filter(|it| (it.machine, it.incarnation) == (index, id.incarnation));
        if asked_to_leave {
            self.history.cut_in_flight += runs.count() as u32;
        }
        let to_dead: Vec<Wire> =
            self.open.iter().filter(|(_, to)| **to == index).map(|(wire, _)| *wire).collect();
        for wire in to_dead {
            self.push_in(5..50, Item::Fail(wire, SendFailure::Lost));
        }
        let from_dead: Vec<Wire> = self
            .open
            .keys()
            .filter(|it| (it.0, it.1) == (index, id.incarnation))
            .copied()
            .collect();
        for wire in from_dead {
            self.cancel_send(wire);
        }
        let calls: Vec<_> = self
            .calls
            .keys()
            .filter(|it| (it.0, it.1) == (index, id.incarnation))
            .copied()
            .collect();
        for call in calls {
            if let Some(Caller::Client(request)) = self.calls.remove(&call) {
                self.client_next(request, None);
            }
        }
        self.tell_others(index, &Event::MembersGone(vec![id]));
        let at = self.now + Duration::from_millis(self.rng.random_range(300..3_000));
        self.strike_at(at, Strike::Restart(index));
    }

    pub(super) fn start_node(&mut self, index: usize) {
        if self.machines[index].policy.is_some() {
            return;
        }
        self.machines[index].id.incarnation += MACHINES as u64;
        let id = self.machines[index].id;
        let policy = (self.make)(self.seed, index, id);
        self.machines[index].restart(policy);
        let others = self.machines.iter().enumerate().filter(|(_, it)| it.policy.is_some());
        let members: Vec<_> = others.map(|(index, it)| it.member(index, 1)).collect();
        let slots = Some(5);
        let announce = TargetNotice::Announce { service: "charging".into(), slots, cold: false };
        for event in [Event::Config(config()), Event::Target(announce), Event::MembersUp(members)] {
            self.deliver(index, id.incarnation, event);
        }
        let member = self.machines[index].member(index, 1);
        self.tell_others(index, &Event::MembersUp(vec![member]));
    }

    pub(super) fn thaw(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        if !machine.frozen {
            return;
        }
        machine.frozen = false;
        let incarnation = machine.id.incarnation;
        for event in std::mem::take(&mut machine.held) {
            self.deliver(index, incarnation, event);
        }
        let member = self.machines[index].member(index, 2);
        self.tell_others(index, &Event::MembersUp(vec![member]));
        self.plan_tick(index);
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

    /// Tells the other nodes something, each after a while.
    pub(super) fn tell_others(&mut self, index: usize, event: &Event) {
        for other in (0..MACHINES).filter(|it| *it != index) {
            let incarnation = self.machines[other].id.incarnation;
            self.push_in(20..1_500, Item::Event(other, incarnation, event.clone()));
        }
    }
}
