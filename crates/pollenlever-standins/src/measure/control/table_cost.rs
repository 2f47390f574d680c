use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use pollenlever_core::id::NodeId;
use pollenlever_core::membership::{
    Change, GossipMessage, Member, Membership, MembershipEvent, MembershipSettings, TargetState,
};
use pollenlever_core::policy::Policy;

use crate::measure::fleet::ProcessUsage;

/// Number of ticks that are timed.
const TICKS: u32 = 2_000;

/// Cost of a whole member table on one node, for a fleet of full size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TableCost {
    /// Size of all entries as encoded on the wire, in bytes.
    pub(super) encoded_bytes: usize,
    /// Resident memory of the table, in MB.
    pub(super) resident_mb: f64,
    /// Time to merge one entry.
    pub(super) merge: Duration,
    /// Time of one tick, in which the node may push changes and compare tables.
    pub(super) tick: Duration,
    /// Time to recompute the links after members have changed.
    pub(super) relink: Duration,
}

impl TableCost {
    /// Fills a table with `count` members, and times its operations.
    pub(super) fn measure(count: usize) -> TableCost {
        let before = ProcessUsage::of(std::process::id()).resident_kb;
        let mut membership = Membership::new(MembershipSettings::default(), member(0), 1);
        let mut actions = Vec::new();
        let mut now = Duration::from_millis(1);
        membership.handle(now, MembershipEvent::Tick, &mut actions);
        let from = member(1).node;
        let start = Instant::now();
        for index in 1..count {
            let message = GossipMessage::push(vec![Change::alive(member(index))]);
            membership.handle(now, MembershipEvent::Message(from, message), &mut actions);
            actions.clear();
        }
        let merge = start.elapsed() / count as u32;
        let after = ProcessUsage::of(std::process::id()).resident_kb;
        let start = Instant::now();
        membership.handle(now, MembershipEvent::Tick, &mut actions);
        let relink = start.elapsed();
        let start = Instant::now();
        for _ in 0..TICKS {
            now += Duration::from_millis(50);
            actions.clear();
            membership.handle(now, MembershipEvent::Tick, &mut actions);
        }
        let tick = start.elapsed() / TICKS;
        let resident_mb = after.saturating_sub(before) as f64 / 1024.0;
        let full_push =
            GossipMessage::push((0..count).map(|it| Change::alive(member(it))).collect());
        TableCost { encoded_bytes: full_push.encoded_len(), resident_mb, merge, tick, relink }
    }
}

/// The `index`th member of a fleet with two regions of three zones and 210 services.
pub(super) fn member(index: usize) -> Member {
    let ip = Ipv4Addr::new(10, (index >> 16) as u8, (index >> 8) as u8, index as u8);
    let node = NodeId {
        addr: SocketAddr::from((ip, 7100)),
        incarnation: (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
    };
    let (region, zone) = (index % 2, index / 2 % 3);
    Member {
        entry: SocketAddr::from((ip, 7000)),
        version: 1_796_000_000_000 + index as u64,
        region: format!("region-{region}").into(),
        zone: format!("region-{region}-{zone}").into(),
        service: Some(format!("service-{}", index % 210).into()),
        state: TargetState::Ready,
        slots: 36,
        ..Member::new(node)
    }
}
