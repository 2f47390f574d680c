use std::collections::{BTreeMap, BTreeSet};

use super::{BurnReport, BurnRow, MissingNode};
use crate::control::MemberStatus;
use crate::manifest::Manifest;
use crate::telemetry::{KindBurn, MultiWindowCounts, NodeBurn};
use crate::tool::node::NodeRequestError;

/// Longest window for which nodes keep counts, in seconds.
const LONGEST_WINDOW_S: u64 = MultiWindowCounts::WINDOWS_S[MultiWindowCounts::WINDOWS_S.len() - 1];

/// A member of the deployment and its answer.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeAnswer {
    /// The member.
    pub member: MemberStatus,
    /// Its counts, or the reason why it did not answer.
    pub burn: Result<NodeBurn, NodeRequestError>,
}

/// Regions and objectives declared in a manifest, which the nodes that answered may not know.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declarations {
    /// Regions that must have at least one node.
    pub regions: Vec<String>,
    /// Request kinds with their objectives, without counts.
    pub kinds: Vec<KindBurn>,
}

impl From<&Manifest> for Declarations {
    fn from(manifest: &Manifest) -> Declarations {
        let mut kinds = Vec::new();
        for service in &manifest.services {
            kinds.extend(service.kinds.iter().map(|kind| KindBurn {
                service: service.service.to_string(),
                kind: kind.name.to_string(),
                objective: Some((&kind.objective).into()),
                windows: Vec::new(),
            }));
        }
        Declarations { regions: manifest.regions.iter().map(ToString::to_string).collect(), kinds }
    }
}

/// Sums the counts of all nodes that answered and lists the nodes and regions that did not.
///
/// ```
/// use pollenlever::control::MemberStatus;
/// use pollenlever::tool::burn::{Declarations, NodeAnswer, merge};
/// use pollenlever::tool::node::NodeRequestError;
/// let member = MemberStatus { entry: "10.0.0.1:7000".to_owned(), ..MemberStatus::default() };
/// let burn = Err(NodeRequestError { node: member.entry.clone(), reason: "timed out".to_owned() });
/// let report = merge(&[NodeAnswer { member, burn }], &Declarations::default());
/// assert!(!report.is_complete());
/// assert_eq!(report.missing[0].entry, "10.0.0.1:7000");
/// ```
pub fn merge(answers: &[NodeAnswer], declared: &Declarations) -> BurnReport {
    let mut report = BurnReport { nodes: answers.len(), ..BurnReport::default() };
    let mut rows = BTreeMap::new();
    let mut regions = BTreeSet::new();
    for NodeAnswer { member, burn } in answers {
        match burn {
            Ok(burn) => {
                regions.insert(member.region.as_str());
                report.recently_started += usize::from(burn.uptime_s < LONGEST_WINDOW_S);
                burn.kinds.iter().for_each(|it| add_kind(&mut rows, it));
            }
            Err(err) => report.missing.push(MissingNode::new(member, err.reason.clone())),
        }
    }
    declared.kinds.iter().for_each(|it| add_kind(&mut rows, it));
    let missing_regions = declared.regions.iter().filter(|it| !regions.contains(it.as_str()));
    report.regions_without_answer = missing_regions.cloned().collect();
    report.rows = rows.into_values().collect();
    report.evaluate();
    report
}

fn add_kind(rows: &mut BTreeMap<(String, String), BurnRow>, burn: &KindBurn) {
    let row = rows.entry((burn.service.clone(), burn.kind.clone()));
    row.or_insert_with(|| BurnRow::new(&burn.service, &burn.kind)).add(burn);
}
