use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;

use crate::cluster::{Cluster, ClusterError};
use crate::relay::LinkState;
use crate::store::Faults;
use crate::target;

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// Longest time that a fault lasts.
const MAX_FAULT_TIME: Duration = Duration::from_millis(2500);

/// Share of answers that are cut.
const CUT_RATIO: f64 = 0.9;

/// A fault that is brought about and then healed.
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

const KINDS: [FaultKind; 9] = [
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

/// Brings about `count` faults one after another on the first `victims` machines.
pub(super) fn run(
    cluster: &mut Cluster,
    rng: &mut StdRng,
    victims: usize,
    count: usize,
) -> Result<(), ClusterError> {
    for _ in 0..count {
        let kind = KINDS[rng.random_range(0..KINDS.len())];
        let victim = rng.random_range(0..victims);
        let other = (victim + rng.random_range(1..victims)) % victims;
        let lasting = MAX_FAULT_TIME.mul_f64(rng.random_range(0.2..1.0));
        println!(
            "fault {kind:?} on {} for {} ms",
            cluster.machines[victim].name,
            lasting.as_millis()
        );
        inflict(cluster, kind, victim, other)?;
        std::thread::sleep(lasting);
        heal(cluster, kind, victim, other)?;
        std::thread::sleep(FAULT_INTERVAL);
    }
    Ok(())
}

fn inflict(
    cluster: &mut Cluster,
    kind: FaultKind,
    victim: usize,
    other: usize,
) -> Result<(), ClusterError> {
    match kind {
        FaultKind::KillNode => cluster.machines[victim].node.kill(),
        FaultKind::KillTarget => cluster.machines[victim].target_program.kill(),
        FaultKind::FreezeNode => cluster.machines[victim].node.freeze(),
        FaultKind::FreezeTarget => cluster.machines[victim].target_program.freeze(),
        FaultKind::CutLink => set_links(cluster, victim, other, LinkState::Cut),
        FaultKind::SilenceLinkOneWay => set_links(cluster, victim, other, LinkState::Silent),
        FaultKind::StoreDown => {
            cluster.set_store_faults(&Faults { down: true, ..Faults::default() })
        }
        FaultKind::StoreLosesAnswers => {
            cluster.set_store_faults(&Faults { lose_answers: 3, ..Faults::default() })
        }
        FaultKind::CutAnswers => cut_answers(cluster, victim, CUT_RATIO),
    }
}

fn heal(
    cluster: &mut Cluster,
    kind: FaultKind,
    victim: usize,
    other: usize,
) -> Result<(), ClusterError> {
    match kind {
        FaultKind::KillNode => cluster.machines[victim].restart_node(),
        FaultKind::KillTarget => cluster.machines[victim].restart_target(),
        FaultKind::FreezeNode => cluster.machines[victim].node.thaw(),
        FaultKind::FreezeTarget => cluster.machines[victim].target_program.thaw(),
        FaultKind::CutLink | FaultKind::SilenceLinkOneWay => {
            set_links(cluster, victim, other, LinkState::Up)
        }
        FaultKind::StoreDown | FaultKind::StoreLosesAnswers => {
            cluster.set_store_faults(&Faults::default())
        }
        FaultKind::CutAnswers => cut_answers(cluster, victim, 0.0),
    }
}

/// Sets the links between the places of two machines; silence falls on one way only.
fn set_links(
    cluster: &Cluster,
    victim: usize,
    other: usize,
    state: LinkState,
) -> Result<(), ClusterError> {
    let Some(links) = cluster.links() else { return Ok(()) };
    let (from, to) = (cluster.machines[victim].place, cluster.machines[other].place);
    if state == LinkState::Silent {
        links.set_one_way(from, to, state);
    } else {
        links.set(from, to, state);
    }
    Ok(())
}

/// Has all targets of the victim's service cut their answers.
fn cut_answers(cluster: &Cluster, victim: usize, cut_ratio: f64) -> Result<(), ClusterError> {
    let faults = target::Faults { cut_ratio, ..target::Faults::default() };
    let service = &cluster.machines[victim].service;
    for machine in cluster.machines.iter().filter(|it| it.service == *service) {
        cluster.set_faults(machine, &faults)?;
    }
    Ok(())
}
