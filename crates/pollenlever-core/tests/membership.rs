//! Tests of the membership protocol on a virtual clock: joins, failures, pauses, network partitions
//! and packet loss.

mod membership_net;

use std::time::Duration;

use membership_net::{Net, addr, node_id};
use pollenlever_core::membership::{MembershipEvent, MembershipSettings, TargetState};
use pollenlever_core::policy::TargetNotice;

/// Defines a test that runs its body on a settled network of `$count` nodes, once per seed.
macro_rules! case {
    ($name:ident, $count:literal, |$net:ident| $body:block) => {
        #[test]
        fn $name() {
            for seed in 1..=3 {
                let mut $net = Net::settled($count, seed);
                $body
            }
        }
    };
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn has_no_gone_node(net: &Net) -> bool {
    net.nodes.values().all(|it| it.gone.is_empty())
}

case!(without_failures_no_node_is_declared_gone, 30, |net| {
    net.run(secs(120));
    assert!(has_no_gone_node(&net));
});

case!(with_packet_loss_no_node_is_declared_gone, 30, |net| {
    net.loss = 0.05;
    net.run(secs(120));
    assert!(has_no_gone_node(&net));
});

#[test]
fn without_probes_and_suspicion_packet_loss_makes_nodes_gone() {
    let cfg = MembershipSettings {
        indirect_probes: 0,
        indirect_timeout: Duration::ZERO,
        suspicion_timeout: Duration::ZERO,
        ..MembershipSettings::default()
    };
    let mut net = Net::settled_with(cfg, 30, 1);
    net.loss = 0.05;
    net.run(secs(10));
    assert!(
        !has_no_gone_node(&net),
        "with_packet_loss_no_node_is_declared_gone would not detect a failure"
    );
}

#[test]
fn undelivered_changes_are_sent_again_without_digests() {
    let never = Duration::from_secs(1 << 20);
    let cfg = MembershipSettings { sync_interval: never, ..MembershipSettings::default() };
    let mut net = Net::settled_with(cfg, 30, 1);
    net.is_partitioned = |a, b| a.region != b.region;
    net.report(addr(3), MembershipEvent::Leave);
    net.run(secs(60));
    net.is_partitioned = |_, _| false;
    net.run_until("change known after the partition", 10, |net| {
        net.all_see(3, |it| it.is_some_and(|it| it.state == TargetState::Leaving))
    });
}

/// Maximum encoded size of a digest, with all buckets in use.
const MAX_DIGEST_BYTES: u64 = 256 * 9 + 3;

#[test]
fn traffic_per_node_does_not_grow_with_the_size_of_the_network() {
    let cost_per_node = |count: u16| {
        let mut net = Net::settled(count, 1);
        (net.bytes, net.messages) = (0, 0);
        net.run(secs(60));
        (net.bytes / u64::from(count), net.messages / u64::from(count))
    };
    let (small, large) = (cost_per_node(30), cost_per_node(120));
    assert!(large.1 * 10 < small.1 * 11, "{small:?} messages a node grew to {large:?}");
    let syncs = 60 / 7; // at least 7.5 s apart
    assert!(large.0 < small.0 + syncs * MAX_DIGEST_BYTES, "{small:?} bytes grew to {large:?}");
}

case!(a_killed_node_is_gone_within_ten_seconds, 60, |net| {
    net.kill(7);
    net.run_until("gone", 10, |net| net.all_see(7, |it| it.is_none()));
    net.run(secs(30));
    assert!(net.nodes.values().all(|it| it.view.len() == 59), "no other node is gone");
});

case!(half_a_region_that_is_killed_is_gone_within_a_minute, 60, |net| {
    for number in (0..30).step_by(3) {
        net.kill(number);
    }
    net.run_until("gone", 60, |net| net.nodes.values().all(|it| it.view.len() == 50));
});

case!(a_leaving_target_is_known_everywhere_within_two_seconds, 90, |net| {
    net.report(addr(11), MembershipEvent::Leave);
    net.run_until("leaving", 2, |net| {
        net.all_see(11, |it| it.is_some_and(|it| it.state == TargetState::Leaving))
    });
    let cold = TargetNotice::Announce { service: "balance".into(), slots: None, cold: true };
    net.report(addr(11), MembershipEvent::Target(cold));
    net.run(secs(2));
    let is_leaving = |it: Option<&_>| {
        it.is_some_and(|it: &pollenlever_core::membership::Member| it.state == TargetState::Leaving)
    };
    assert!(net.all_see(11, is_leaving), "a leaving node stays leaving");
    net.kill(11);
    net.run_until("gone without suspicion", 5, |net| net.all_see(11, |it| it.is_none()));
});

case!(a_paused_node_comes_back_with_the_same_incarnation, 30, |net| {
    net.node(7).paused = true;
    net.run_until("gone", 15, |net| net.all_see(7, |it| it.is_none()));
    net.run(secs(15));
    net.resume(7);
    net.run_until("back", 15, |net| {
        net.all_see(7, |it| it.is_some_and(|it| it.node == node_id(7, 1)))
    });
    net.run(secs(10));
    assert!(net.nodes.values().all(|it| it.view.len() == 30), "all 30 nodes are members");
});

case!(a_restarted_node_replaces_its_old_process, 30, |net| {
    net.kill(7);
    net.start(7, 2, 1000);
    net.run_until("replaced", 3, |net| {
        net.all_see(7, |it| it.is_some_and(|it| it.node == node_id(7, 2)))
    });
    let gone_once = |net: &Net| {
        let others = net.nodes.iter().filter(|(at, _)| **at != addr(7));
        others.into_iter().all(|(_, it)| it.gone == [node_id(7, 1)])
    };
    net.run(secs(20));
    assert!(gone_once(&net));
});

case!(a_restarted_node_with_a_slow_clock_replaces_its_old_process, 30, |net| {
    net.kill(7);
    net.start(7, 2, 0);
    net.run_until("replaced", 20, |net| {
        net.all_see(7, |it| it.is_some_and(|it| it.node == node_id(7, 2)))
    });
});

case!(a_partition_between_regions_makes_no_node_gone, 30, |net| {
    net.is_partitioned = |a, b| a.region != b.region;
    net.run(secs(180));
    assert!(has_no_gone_node(&net));
    net.report(addr(3), MembershipEvent::Leave);
    net.run(secs(1));
    net.is_partitioned = |_, _| false;
    net.run_until("change known after the partition", 30, |net| {
        net.all_see(3, |it| it.is_some_and(|it| it.state == TargetState::Leaving))
    });
});

case!(membership_recovers_after_a_partition_between_zones, 24, |net| {
    net.is_partitioned = |a, b| a.region == b.region && a.zone != b.zone;
    net.run(secs(60));
    net.is_partitioned = |_, _| false;
    net.run_until("all back", 180, |net| net.nodes.values().all(|it| it.view.len() == 24));
});
