use std::time::Duration;

use crate::Timestamp;
use crate::admission::Decayed;

/// Time over which calls and runs are counted.
const MEMORY: Duration = Duration::from_secs(2);

/// Number of calls, faded with time, at which a target counts as making none.
const FORGOTTEN: f64 = 0.01;

/// What the calls that the target makes tell about the services further down.
#[derive(Debug, Default)]
pub struct Callees {
    runs: Decayed,
    calls: Decayed,
    /// Calls with those that the called targets make in turn.
    calls_beneath: Decayed,
    strained: Decayed,
}

impl Callees {
    /// Notes a run of the target.
    pub fn add_run(&mut self, now: Timestamp) {
        self.runs.add(now, MEMORY, 1.0);
    }

    /// Notes a call of the target that caused `beneath` further calls. `is_strained` says that it
    /// failed because a service further down is overloaded.
    pub fn add_call(&mut self, now: Timestamp, beneath: f64, is_strained: bool) {
        self.calls.add(now, MEMORY, 1.0);
        self.calls_beneath.add(now, MEMORY, 1.0 + beneath);
        if is_strained {
            self.strained.add(now, MEMORY, 1.0);
        }
    }

    /// Calls that failed under overload, in thousandths.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::Callees;
    /// let mut callees = Callees::default();
    /// for call in 0..4 {
    ///     callees.add_call(Duration::ZERO, 0.0, call == 0);
    /// }
    /// assert_eq!(callees.strained_permille(Duration::ZERO), 250);
    /// ```
    pub fn strained_permille(&self, now: Timestamp) -> u16 {
        let calls = self.calls.get(now, MEMORY);
        if calls < f64::EPSILON {
            0
        } else {
            (self.strained.get(now, MEMORY) / calls * 1000.0) as u16
        }
    }

    /// Whether the target lately made calls.
    pub fn makes_calls(&self, now: Timestamp) -> bool {
        self.calls.get(now, MEMORY) > FORGOTTEN
    }

    /// Calls that a run makes, those beneath them included, in hundredths.
    pub fn calls_percent(&self, now: Timestamp) -> u16 {
        let runs = self.runs.get(now, MEMORY);
        let calls = self.calls_beneath.get(now, MEMORY);
        if runs < 1.0 { 0 } else { (calls / runs * 100.0).min(f64::from(u16::MAX)) as u16 }
    }
}
