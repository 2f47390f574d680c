use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::cluster::{Cluster, ClusterError};
use crate::relay::LinkState;
use crate::store::Faults;
use crate::target;

/// Time between the end of a fault and the next one.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Longest duration of a fault.
const MAX_FAULT_TIME: Duration = Duration::from_millis(2500);

/// Share of answers that [`FaultKind::CutAnswers`] truncates.
const CUT_ANSWER_RATIO: f64 = 0.9;

/// A fault that is injected and later removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    KillNode,
    KillTarget,
    FreezeNode,
    FreezeTarget,
    CutLink,
    SilenceLinkOneWay,
    StoreDown,
    StoreLosesAnswers,
    CutAnswers,
}

const FAULT_KINDS: [FaultKind; 9] = [
    FaultKind::KillNode,
    FaultKind::KillTarget,
    FaultKind::FreezeNode,
    FaultKind::FreezeTarget,
    FaultKind::CutLink,
    FaultKind::SilenceLinkOneWay,
    FaultKind::StoreDown,
    FaultKind::StoreLosesAnswers,
    FaultKind::CutAnswers,
];

/// Injects `count` random faults one after another on the first `victim_count` machines.
pub(super) fn run(
    cluster: &mut Cluster,
    rng: &mut StdRng,
    victim_count: usize,
    count: usize,
) -> Result<(), ClusterError> {
    for _ in 0..count {
        let kind = FAULT_KINDS[rng.random_range(0..FAULT_KINDS.len())];
        let victim = rng.random_range(0..victim_count);
        let other = (victim + rng.random_range(1..victim_count)) % victim_count;
        let duration = MAX_FAULT_TIME.mul_f64(rng.random_range(0.2..1.0));
        println!(
            "fault {kind:?} on {} for {} ms",
            cluster.machines[victim].name,
            duration.as_millis()
        );
        inject_fault(cluster, kind, victim, other)?;
        std::thread::sleep(duration);
        remove_fault(cluster, kind, victim, other)?;
        std::thread::sleep(FAULT_INTERVAL);
    }
    Ok(())
}

fn inject_fault(
    cluster: &mut Cluster,
    kind: FaultKind,
    victim: usize,
    other: usize,
) -> Result<(), ClusterError> {
    match kind {
        FaultKind::KillNode => cluster.machines[victim].node_process.kill(),
        FaultKind::KillTarget => cluster.machines[victim].target_process.kill(),
        FaultKind::FreezeNode => cluster.machines[victim].node_process.suspend(),
        FaultKind::FreezeTarget => cluster.machines[victim].target_process.suspend(),
        FaultKind::CutLink => set_links(cluster, victim, other, LinkState::Cut),
        FaultKind::SilenceLinkOneWay => set_links(cluster, victim, other, LinkState::Silent),
        FaultKind::StoreDown => {
            cluster.set_store_faults(&Faults { down: true, ..Faults::default() })
        }
        FaultKind::StoreLosesAnswers => {
            cluster.set_store_faults(&Faults { lose_answers: 3, ..Faults::default() })
        }
        FaultKind::CutAnswers => cut_answers(cluster, victim, CUT_ANSWER_RATIO),
    }
}

fn remove_fault(
    cluster: &mut Cluster,
    kind: FaultKind,
    victim: usize,
    other: usize,
) -> Result<(), ClusterError> {
    match kind {
        FaultKind::KillNode => cluster.machines[victim].restart_node(),
        FaultKind::KillTarget => cluster.machines[victim].restart_target(),
        FaultKind::FreezeNode => cluster.machines[victim].node_process.resume(),
        FaultKind::FreezeTarget => cluster.machines[victim].target_process.resume(),
        FaultKind::CutLink | FaultKind::SilenceLinkOneWay => {
            set_links(cluster, victim, other, LinkState::Up)
        }
        FaultKind::StoreDown | FaultKind::StoreLosesAnswers => {
            cluster.set_store_faults(&Faults::default())
        }
        FaultKind::CutAnswers => cut_answers(cluster, victim, 0.0),
    }
}

/// Sets the links between the zones of two machines; [`LinkState::Silent`] applies only to the
/// direction from `victim` to `other`.
fn set_links(
    cluster: &Cluster,
    victim: usize,
    other: usize,
    state: LinkState,
) -> Result<(), ClusterError> {
    let Some(links) = cluster.links() else { return Ok(()) };
    let (from, to) = (cluster.machines[victim].location, cluster.machines[other].location);
    if state == LinkState::Silent {
        links.set_direction(from, to, state);
    } else {
        links.set(from, to, state);
    }
    Ok(())
}

/// Makes all targets of the victim's service truncate this share of their answers.
fn cut_answers(cluster: &Cluster, victim: usize, cut_ratio: f64) -> Result<(), ClusterError> {
    let faults = target::Faults { cut_ratio, ..target::Faults::default() };
    let service = &cluster.machines[victim].service;
    for machine in cluster.machines.iter().filter(|it| it.service == *service) {
        cluster.set_faults(machine, &faults)?;
    }
    Ok(())
}
