use super::*;

/// Targets: runs and the calls that they make.
impl World {
    pub(super) fn run(
        &mut self,
        index: usize,
        incarnation: u64,
        run: RunId,
        attempt: AttemptId,
        body: Bytes,
    ) {
        *self.history.runs.entry(body.clone()).or_default() += 1;
        let left_at = self.history.leaves.get(&(index, incarnation));
        if left_at.is_some_and(|at| self.now > *at + Duration::from_secs(3)) {
            self.history.late_starts += 1;
        }
        if let Some((arrived, _)) = self.arrivals.get(&attempt).filter(|_| body.starts_with(b"get"))
        {
            self.history.lesser_starts.push((index, *arrived, self.now));
        }
        let serial = self.draw_id();
        let is_poison = body.starts_with(b"poison");
        let levels = levels_of(&body);
        let target =
            TargetRun { machine: index, incarnation, run, attempt, body, child_sends: 0, child: 0 };
        self.runs.insert(serial, target);
        if is_poison {
            let runs = self.history.poison_runs.entry(self.runs[&serial].body.clone());
            runs.or_default().push(self.now);
            self.push_in(5..6, Item::Strike(Strike::CrashTarget(index)));
        } else if levels > 0 {
            self.call_child(serial);
        } else {
            let slow = if self.chance(0.05) { 20 } else { 1 };
            self.push_in(2 * slow..60 * slow, Item::RunEnd(serial));
        }
    }

    /// The target calls the next level, through the node beside it.
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
        let id = self.draw_id();
        self.calls.insert((index, incarnation, id), Caller::Run(serial));
        self.push_in(1..3, Item::Event(index, incarnation, Event::Call(id, call)));
    }

    /// A target with habits of its own calls again after an error.
    pub(super) fn child_answered(&mut self, serial: u64, answer: &Answer) {
        let Some(run) = self.runs.get_mut(&serial) else { return };
        let fan_out = if levels_of(&run.body) >= WIDE_LEVEL { 2 } else { 1 };
        if answer.error.is_some() && run.child_sends < CHILD_SENDS {
            return self.call_child(serial);
        }
        run.child += 1;
        run.child_sends = 0;
        if run.child < fan_out {
            self.call_child(serial);
        } else {
            self.push_in(1..5, Item::RunEnd(serial));
        }
    }

    pub(super) fn end_run(&mut self, serial: u64) {
        let Some(run) = self.runs.remove(&serial) else { return };
        let body = [b"answer to ", &run.body[..], format!(" by run {serial}").as_bytes()].concat();
        let result = RunResult::Answered { status: 200, headers: Vec::new(), body: body.into() };
        self.deliver(run.machine, run.incarnation, Event::RunEnded(run.run, result));
    }
}
