use std::time::Duration;

use proptest::prelude::*;

/// Faults of one history.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    /// Probability that a request is lost.
    pub(crate) loss: f64,
    /// Probability that a reply is lost.
    pub(crate) reply_loss: f64,
    /// Probability that a request is reported lost and arrives afterwards.
    pub(crate) late: f64,
    /// Probability that a request arrives twice.
    pub(crate) dup: f64,
    /// Probability that no byte of a request is sent.
    pub(crate) untouched: f64,
    /// Nodes killed and restarted.
    pub(crate) kills: u32,
    /// Nodes frozen for 1 s to 10 s.
    pub(crate) freezes: u32,
    /// Targets crashed.
    pub(crate) crashes: u32,
    /// Links cut one way for 1 s to 5 s.
    pub(crate) cuts: u32,
}

/// Any mixture of faults.
pub(crate) fn any_faults() -> impl Strategy<Value = Faults> {
    let rates = (0.0..0.08, 0.0..0.08, 0.0..0.08, 0.0..0.08, 0.0..0.05);
    let counts = (0u32..4, 0u32..4, 0u32..4, 0u32..4);
    (rates, counts).prop_map(|(rates, counts)| Faults {
        loss: rates.0,
        reply_loss: rates.1,
        late: rates.2,
        dup: rates.3,
        untouched: rates.4,
        kills: counts.0,
        freezes: counts.1,
        crashes: counts.2,
        cuts: counts.3,
    })
}

/// Messages are lost, late and doubled; no process fails.
pub(crate) fn gentle_faults() -> impl Strategy<Value = Faults> {
    any_faults().prop_map(|it| Faults { kills: 0, freezes: 0, crashes: 0, cuts: 0, ..it })
}

/// No faults but those of the requests themselves.
pub(crate) fn no_faults() -> impl Strategy<Value = Faults> {
    Just(Faults::default())
}

/// A fault that strikes at a time.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Strike {
    Kill(usize),
    Restart(usize),
    Freeze(usize, Duration),
    Thaw(usize),
    CrashTarget(usize),
    Cut {
        from: usize,
        to: usize,
        until: Duration,
    },
    /// Asks a node to leave and kills it after a while, as a supervisor does.
    Leave(usize),
    KillIfAlive(usize, u64),
}
