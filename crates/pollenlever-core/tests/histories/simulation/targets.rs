use super::*;

/// Targets, which run requests and make nested calls.
impl Simulation {
    pub(super) fn run(
        &mut self,
        index: usize,
        incarnation: u64,
        run: RunId,
        attempt: AttemptId,
        body: Bytes,
    ) {
        *self.history.runs.entry(body.clone()).or_default() += 1;
        let asked_to_leave_at = self.history.leave_requests.get(&(index, incarnation));
        if asked_to_leave_at.is_some_and(|at| self.now > *at + Duration::from_secs(3)) {
            self.history.late_starts += 1;
        }
        // Requests with a `get` body are less important than charges.
        if let Some((arrived, _)) = self.arrivals.get(&attempt).filter(|_| body.starts_with(b"get"))
        {
            self.history.less_important_starts.push((index, *arrived, self.now));
        }
        let serial = self.allocate_id();
        let is_poison = body.starts_with(b"poison");
        let levels = levels_of(&body);
        let target =
            TargetRun { machine: index, incarnation, run, attempt, body, child_sends: 0, child: 0 };
        self.runs.insert(serial, target);
        if is_poison {
            // A poison request crashes its target 5 ms to 6 ms after it started.
            let runs = self.history.poison_runs.entry(self.runs[&serial].body.clone());
            runs.or_default().push(self.now);
            self.schedule_in(5..6, Scheduled::FaultEvent(FaultEvent::CrashTarget(index)));
        } else if levels > 0 {
            self.call_child(serial);
        } else {
            let slow = if self.chance(0.05) { 20 } else { 1 };
            self.schedule_in(2 * slow..60 * slow, Scheduled::RunEnd(serial));
        }
    }

    /// Makes the target's call to the next level, through the node beside it. The body of the run
    /// is `deep:ROOT:LEVELS:...`, where `ROOT` is the number of the client's request; if it ends in
    /// `:sell`, the target makes an order instead of a call to the next level.
    pub(super) fn call_child(&mut self, serial: u64) {
        let Some(run) = self.runs.get_mut(&serial) else { return };
        run.child_sends += 1;
        let text = String::from_utf8_lossy(&run.body).into_owned();
        let root = text.split(':').nth(1).unwrap_or_default();
        let levels = levels_of(&run.body) - 1;
        let (method, path, body) = match text.ends_with(":sell") {
            true => ("POST", "/order", format!("order:{root}")),
            false => {
                ("GET", "/deep", format!("deep:{root}:{levels}:{}:{}", run.attempt, run.child))
            }
        };
        let (index, incarnation, parent) = (run.machine, run.incarnation, run.attempt);
        let call = Call { parent: Some(parent), ..plain_call(method, path, body.into()) };
        let id = self.allocate_id();
        self.calls.insert((index, incarnation, id), Caller::Run(serial));
        self.schedule_in(1..3, Scheduled::Event(index, incarnation, Event::Call(id, call)));
    }

    /// Continues a run after the answer to its nested call. After an error the target itself
    /// repeats the call, which it makes at most `MAX_CHILD_SENDS` times.
    pub(super) fn on_child_answer(&mut self, serial: u64, answer: &Answer) {
        let Some(run) = self.runs.get_mut(&serial) else { return };
        let fan_out = if levels_of(&run.body) >= MIN_TWO_CHILDREN_LEVEL { 2 } else { 1 };
        if answer.error.is_some() && run.child_sends < MAX_CHILD_SENDS {
            return self.call_child(serial);
        }
        run.child += 1;
        run.child_sends = 0;
        if run.child < fan_out {
            self.call_child(serial);
        } else {
            self.schedule_in(1..5, Scheduled::RunEnd(serial));
        }
    }

    pub(super) fn end_run(&mut self, serial: u64) {
        let Some(run) = self.runs.remove(&serial) else { return };
        let body = [b"answer to ", &run.body[..], format!(" by run {serial}").as_bytes()].concat();
        let result = RunResult::Answered { status: 200, headers: Vec::new(), body: body.into() };
        self.deliver(run.machine, run.incarnation, Event::RunEnded(run.run, result));
    }
}
