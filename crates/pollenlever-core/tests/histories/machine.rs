use std::time::Duration;

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{Member, TargetState};
use pollenlever_core::policy::{BoxPolicy, Event};

/// A machine with the node process that runs on it.
pub(crate) struct Machine {
    pub(crate) id: NodeId,
    pub(crate) policy: Option<BoxPolicy>,
    pub(crate) frozen: bool,
    /// Events that arrived while the process was frozen.
    pub(crate) deferred_events: Vec<Event>,
    pub(crate) tick_at: Option<Duration>,
}

impl Machine {
    pub(crate) fn new(index: usize) -> Machine {
        let addr = format!("10.0.0.{}:7101", index + 1).parse().unwrap();
        let id = NodeId { addr, incarnation: index as u64 + 1 };
        Machine { id, policy: None, frozen: false, deferred_events: Vec::new(), tick_at: None }
    }

    /// Starts a new node process.
    pub(crate) fn restart(&mut self, policy: BoxPolicy) {
        self.policy = Some(policy);
        self.frozen = false;
        self.deferred_events.clear();
        self.tick_at = None;
    }

    pub(crate) fn member(&self, index: usize, version: u64) -> Member {
        Member {
            node: self.id,
            entry: self.id.addr,
            version,
            region: region(index).into(),
            zone: format!("{}-a", region(index)).into(),
            service: Some("charging".into()),
            state: TargetState::Ready,
            slots: 5,
        }
    }
}

pub(crate) fn region(index: usize) -> &'static str {
    ["lombardia", "veneto", "emilia"][index % 3]
}
