use proptest::prelude::*;

/// Faults in one history.
#[derive(Debug, Clone, Default)]
pub(crate) struct Faults {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Probability that a message between nodes, or a reply of the store, is lost.
    pub(crate) loss: f64,
    /// Probability that a message or a write arrives up to 4 s late.
    pub(crate) late: f64,
    /// Probability that a message arrives twice.
    pub(crate) duplicate: f64,
    /// Probability that a node's view of the members is wrong at a refresh.
    pub(crate) wrong_view: f64,
    /// Probability that a request gives its token back.
    pub(crate) not_run: f64,
    /// Number of processes that are killed and started again, most after up to 3 s.
    pub(crate) kills: u32,
    /// Number of suspensions of up to 4 s.
    pub(crate) freezes: u32,
    /// Number of partitions of up to 20 s into two parts, of which one may not reach the store.
    pub(crate) partitions: u32,
    /// Number of nodes that hand their units back, end, and start again.
    pub(crate) leaves: u32,
    /// Mechanism that is taken away.
    pub(crate) without: Option<Mechanism>,
}

/// A mechanism that a history can run without, to show that the checks need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mechanism {
    /// Every delegation arrives with a new ticket.
    Tickets,
    /// Every delegation arrives with a sequence number above the last.
    Sequences,
    /// A withdrawal counts as confirmed once it is sent.
    WaitBeforeDelegatingElsewhere,
    /// The table is written while the units are still delegated.
    LoweringBeforeWrite,
    /// A new process uses units that an earlier one is about to give away.
    Announcements,
    /// A stale table counts as the newest.
    Revisions,
    /// A late grant counts as the reply to the last token request.
    GrantNumbers,
}

/// Any combination of faults.
pub(crate) fn any_faults() -> impl Strategy<Value = Faults> {
    let rates = (0.0..0.1, 0.0..0.1, 0.0..0.1, 0.0..0.2);
    let counts = (0u32..4, 0u32..4, 0u32..3, 0u32..4);
    (rates, counts, 2usize..7).prop_map(|(rates, counts, nodes)| Faults {
        nodes,
        loss: rates.0,
        late: rates.1,
        duplicate: rates.2,
        wrong_view: rates.3,
        not_run: 0.1,
        kills: counts.0,
        freezes: counts.1,
        partitions: counts.2,
        leaves: counts.3,
        without: None,
    })
}

/// Faults in which the check needs the mechanism.
pub(crate) fn faults_without(mechanism: Mechanism) -> Faults {
    let late = Faults { nodes: 3, late: 0.3, without: Some(mechanism), ..Faults::default() };
    match mechanism {
        Mechanism::GrantNumbers => Faults { nodes: 2, late: 0.3, ..late },
        Mechanism::Sequences => Faults { wrong_view: 0.3, ..late },
        Mechanism::Revisions => Faults { nodes: 5, late: 0.05, leaves: 30, ..late },
        Mechanism::Announcements => Faults { kills: 20, leaves: 20, ..late },
        _ => Faults { duplicate: 0.1, wrong_view: 0.2, kills: 3, leaves: 6, ..late },
    }
}
