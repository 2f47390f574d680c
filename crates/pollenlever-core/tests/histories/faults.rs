use std::time::Duration;

use proptest::prelude::*;

/// Faults in one simulation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    /// Probability that a request between nodes is lost.
    pub(crate) request_loss: f64,
    /// Probability that a reply is lost.
    pub(crate) reply_loss: f64,
    /// Probability that a request is reported lost but arrives, before or after the report.
    pub(crate) late: f64,
    /// Probability that a request arrives twice.
    pub(crate) duplicate: f64,
    /// Probability that a send fails before any byte of the request is sent.
    pub(crate) not_sent: f64,
    /// Number of nodes that are killed and restarted.
    pub(crate) kills: u32,
    /// Number of nodes that are frozen for 2 s to 12 s.
    pub(crate) freezes: u32,
    /// Number of target crashes.
    pub(crate) crashes: u32,
    /// Number of links that are cut in one direction for 1 s to 6 s.
    pub(crate) cuts: u32,
}

/// Any combination of faults.
pub(crate) fn any_faults() -> impl Strategy<Value = Faults> {
    let rates = (0.0..0.08, 0.0..0.08, 0.0..0.08, 0.0..0.08, 0.0..0.05);
    let counts = (0u32..4, 0u32..4, 0u32..4, 0u32..4);
    (rates, counts).prop_map(|(rates, counts)| Faults {
        request_loss: rates.0,
        reply_loss: rates.1,
        late: rates.2,
        duplicate: rates.3,
        not_sent: rates.4,
        kills: counts.0,
        freezes: counts.1,
        crashes: counts.2,
        cuts: counts.3,
    })
}

/// Messages are lost, delayed or duplicated; no process fails and no link is cut.
pub(crate) fn message_faults() -> impl Strategy<Value = Faults> {
    any_faults().prop_map(|it| Faults { kills: 0, freezes: 0, crashes: 0, cuts: 0, ..it })
}

/// No injected faults. A test may still make requests that crash their targets, or make nodes leave.
pub(crate) fn no_faults() -> impl Strategy<Value = Faults> {
    Just(Faults::default())
}

/// A change of a process or link at a scheduled time. Machines are given by index.
#[derive(Debug, Clone, Copy)]
pub(crate) enum FaultEvent {
    Kill(usize),
    Restart(usize),
    Freeze(usize, Duration),
    Unfreeze(usize),
    CrashTarget(usize),
    Cut {
        from: usize,
        to: usize,
        until: Duration,
    },
    /// Asks a node to leave and kills it after a grace period, as a supervisor does.
    Leave(usize),
    /// Kills a node if it still has this incarnation (the number of its process).
    KillIfAlive(usize, u64),
}
