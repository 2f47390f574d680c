use std::collections::{BTreeMap, BTreeSet};

use super::{BurnReport, BurnRow, MissingNode};
use crate::control::MemberStatus;
use crate::manifest::Manifest;
use crate::telemetry::{KindBurn, NodeBurn, WindowedCounts};
use crate::tool::node::NodeError;

/// The longest window that nodes keep.
const LONGEST_WINDOW_S: u64 = WindowedCounts::WINDOWS_S[WindowedCounts::WINDOWS_S.len() - 1];

/// A member and what it answered.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeAnswer {
    /// The member.
    pub member: MemberStatus,
    /// Its counts, or why there are none.
    pub burn: Result<NodeBurn, NodeError>,
}

/// What operators declared, where nodes may not know it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declared {
    /// Regions that must have a node.
    pub regions: Vec<String>,
    /// Kinds of request with objectives and without counts.
    pub kinds: Vec<KindBurn>,
}

impl From<&Manifest> for Declared {
    fn from(manifest: &Manifest) -> Declared {
        let mut kinds = Vec::new();
        for service in &manifest.services {
            kinds.extend(service.kinds.iter().map(|kind| KindBurn {
                service: service.service.to_string(),
                kind: kind.name.to_string(),
                objective: Some((&kind.objective).into()),
                windows: Vec::new(),
            }));
        }
        Declared { regions: manifest.regions.iter().map(ToString::to_string).collect(), kinds }
    }
}

/// Sums the counts of all nodes that answered and names those that did not.
///
/// ```
/// use pollenlever::control::MemberStatus;
/// use pollenlever::tool::burn::{Declared, NodeAnswer, merge};
/// use pollenlever::tool::node::NodeError;
/// let member = MemberStatus { entry: "10.0.0.1:7000".to_owned(), ..MemberStatus::default() };
/// let burn = Err(NodeError { node: member.entry.clone(), reason: "timed out".to_owned() });
/// let report = merge(&[NodeAnswer { member, burn }], &Declared::default());
/// assert!(!report.is_complete());
/// assert_eq!(report.missing[0].entry, "10.0.0.1:7000");
/// ```
pub fn merge(answers: &[NodeAnswer], declared: &Declared) -> BurnReport {
    let mut report = BurnReport { nodes: answers.len(), ..BurnReport::default() };
    let mut rows = BTreeMap::new();
    let mut regions = BTreeSet::new();
    for NodeAnswer { member, burn } in answers {
        match burn {
            Ok(burn) => {
                regions.insert(member.region.as_str());
                report.recently_started += usize::from(burn.uptime_s < LONGEST_WINDOW_S);
                burn.kinds.iter().for_each(|it| add(&mut rows, it));
            }
            Err(err) => report.missing.push(MissingNode::new(member, err.reason.clone())),
        }
    }
    declared.kinds.iter().for_each(|it| add(&mut rows, it));
    let unseen = declared.regions.iter().filter(|it| !regions.contains(it.as_str()));
    report.regions_without_answer = unseen.cloned().collect();
    report.rows = rows.into_values().collect();
    report.judge();
    report
}

fn add(rows: &mut BTreeMap<(String, String), BurnRow>, burn: &KindBurn) {
    let row = rows.entry((burn.service.clone(), burn.kind.clone()));
    row.or_insert_with(|| BurnRow::new(&burn.service, &burn.kind)).add(burn);
}
