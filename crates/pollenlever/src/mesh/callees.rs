use std::time::Duration;

/// Time over which calls and runs are counted.
const MEMORY: Duration = Duration::from_secs(2);

/// A sum that forgets exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct Recent {
    sum: f64,
    at: Duration,
}

impl Recent {
    fn add(&mut self, now: Duration, amount: f64) {
        self.sum = self.get(now) + amount;
        self.at = now;
    }

    fn get(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / MEMORY.as_secs_f64()).exp()
    }
}

/// What the calls that the target makes tell about the services further down.
#[derive(Debug, Default)]
pub(super) struct Callees {
    runs: Recent,
    calls: Recent,
    /// Calls with those that the called targets make in turn.
    calls_beneath: Recent,
    strained: Recent,
}

impl Callees {
    /// Notes a run of the target.
    pub(super) fn add_run(&mut self, now: Duration) {
        self.runs.add(now, 1.0);
    }

    /// Notes a call of the target that caused `beneath` further calls. `is_strained` says that it
    /// failed because a service further down is overloaded.
    pub(super) fn add_call(&mut self, now: Duration, beneath: f64, is_strained: bool) {
        self.calls.add(now, 1.0);
        self.calls_beneath.add(now, 1.0 + beneath);
        if is_strained {
            self.strained.add(now, 1.0);
        }
    }

    /// Calls that failed under overload, in thousandths.
    pub(super) fn strained_permille(&self, now: Duration) -> u16 {
        let calls = self.calls.get(now);
        if calls < f64::EPSILON { 0 } else { (self.strained.get(now) / calls * 1000.0) as u16 }
    }

    /// Calls that a run makes, those beneath them included, in hundredths.
    pub(super) fn calls_percent(&self, now: Duration) -> u16 {
        let runs = self.runs.get(now);
        let calls = self.calls_beneath.get(now);
        if runs < 1.0 { 0 } else { (calls / runs * 100.0).min(f64::from(u16::MAX)) as u16 }
    }
}
