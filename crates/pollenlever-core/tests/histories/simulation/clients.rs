use super::*;

/// Clients, which make calls and resend them.
impl Simulation {
    pub(super) fn client_send(&mut self, request: usize) {
        let index = self.rng.random_range(0..MACHINES);
        let machine = &self.machines[index];
        let incarnation = machine.id.incarnation;
        if machine.policy.is_none() {
            return self.schedule_in(10..200, Scheduled::ClientSend(request));
        }
        let id = self.allocate_id();
        self.calls.insert((index, incarnation, id), Caller::Client(request));
        let item = Scheduled::ClientTimeout(index, incarnation, id);
        self.schedule_at(self.now + CLIENT_TIMEOUT, item);
        let reused_key = self.requests[request].key_of.map(|it| self.requests[it].key);
        if let Some(key) = reused_key {
            self.requests[request].key = key;
        }
        let req = self.requests[request].clone();
        if req.keyed && req.key.is_none() {
            return self.deliver(index, incarnation, Event::IssueKeys { call: id, count: 1 });
        }
        if self.requests[request].sends_left == 0 {
            self.calls.remove(&(index, incarnation, id));
            return;
        }
        self.requests[request].sends_left -= 1;
        let call =
            Call { key: req.key, chain: req.chain, ..plain_call(req.method, req.path, req.body) };
        self.deliver(index, incarnation, Event::Call(id, call));
    }

    pub(super) fn on_keys(&mut self, call: (usize, u64, CallId), keys: &[RequestKey]) {
        if let Some(Caller::Client(request)) = self.calls.remove(&call) {
            self.requests[request].key = self.requests[request].key.or(keys.first().copied());
            self.schedule_in(1..20, Scheduled::ClientSend(request));
        }
    }

    /// Records the answer, `None` if none arrived, and decides whether the client resends.
    pub(super) fn on_client_answer(&mut self, request: usize, answer: Option<(Answer, Bytes)>) {
        let req = &mut self.requests[request];
        if req.keyed && req.key.is_none() {
            let err = answer.and_then(|(it, _)| it.error);
            if err == Some(ErrorKind::KeyForeign) {
                // The policy issues no keys, so the client makes one up.
                let home = self.machines[0].id;
                req.key = Some(RequestKey { home, minted_ms: 0, seq: request as u64, tag: 0 });
            }
            return self.schedule_in(1..20, Scheduled::ClientSend(request));
        }
        let has_target_answer = answer.as_ref().is_some_and(|(it, _)| it.error.is_none());
        let is_not_run = answer.as_ref().is_some_and(|(it, _)| it.outcome == Outcome::NotRun);
        if let Some((answer, body)) = answer {
            if let Some(err) = answer.error {
                self.history.errors.entry(req.body.clone()).or_default().push(err);
            }
            let answers = self.history.answers.entry(req.body.clone()).or_default();
            answers.push((answer.outcome, body));
        }
        // Without key and chain a resend would be a new request, as it would be after "not run".
        let req = &self.requests[request];
        let is_same = req.key.is_some() || req.chain.is_some() && !is_not_run;
        let resend_probability = if has_target_answer { 0.2 } else { 0.9 };
        if is_same && self.chance(resend_probability) {
            self.schedule_in(10..1_500, Scheduled::ClientSend(request));
        }
    }
}
