//! What callers get when nothing fails but one node.

use std::time::Duration;

use crate::cases;
use crate::cluster::Cluster;
use crate::faults::Faults;

const NODES: usize = 5;
/// Time by which the table is read and the units are delegated.
const WARM: u64 = 5;
const END: u64 = 25;

cases! {
    callers_at_one_node_get_the_whole_rate => assert_served(100.0, 100.0, 300.0, |_| 0);
    callers_at_one_node_get_the_whole_rate_with_a_small_burst =>
        assert_served(100.0, 5.0, 300.0, |_| 0);
    callers_at_one_node_get_a_high_rate => assert_served(1000.0, 1000.0, 3000.0, |_| 0);
    callers_at_all_nodes_get_the_whole_rate => assert_served(100.0, 50.0, 300.0, |it| it % NODES);
    callers_at_all_nodes_get_a_low_rate => assert_served(5.0, 5.0, 50.0, |it| it % NODES);
    callers_below_a_high_quota_are_not_refused =>
        assert_not_refused(100.0, 20.0, 90.0, |it| it % NODES);
    callers_below_a_quota_of_one_a_second_are_not_refused =>
        assert_not_refused(1.0, 1.0, 0.9, |it| it % NODES);
    grants_resume_after_a_crash_of_the_home => assert_resumed();
    a_workspace_over_its_quota_sends_few_token_requests => assert_few_token_requests();
}

fn cluster(limits: &[(&str, f64, f64)]) -> Cluster {
    Cluster::new(3, NODES, limits, Faults::default())
}

/// Sends `per_s` requests a second; `node_of` gives the node of each.
fn offer(cluster: &mut Cluster, workspace: &str, per_s: f64, node_of: fn(usize) -> usize) {
    for index in 0..((END - WARM) as f64 * per_s) as usize {
        let at = Duration::from_secs(WARM) + Duration::from_secs_f64(index as f64 / per_s);
        cluster.request(at, node_of(index), workspace);
    }
    cluster.run_until(Duration::from_secs(END + 1));
}

/// Asserts that a workspace over its quota gets more than 0.9 of its rate.
fn assert_served(rate: f64, burst: f64, offered: f64, node_of: fn(usize) -> usize) {
    let mut cluster = cluster(&[("padova", rate, burst)]);
    offer(&mut cluster, "padova", offered, node_of);
    let used = cluster.uses["padova"].len() as f64;
    let expected = rate * (END - WARM) as f64;
    assert!(used > 0.9 * expected, "{used} of {expected}");
}

/// Asserts that a workspace below its quota is served while others exceed theirs.
fn assert_not_refused(rate: f64, burst: f64, offered: f64, node_of: fn(usize) -> usize) {
    let limits = [("padova", rate, burst), ("verona", 20.0, 20.0), ("trento", 50.0, 5.0)];
    let mut cluster = cluster(&limits);
    for index in 0..10_000 {
        let at = Duration::from_secs(WARM - 1) + Duration::from_millis(2 * index as u64);
        cluster.request(at, index % NODES, "verona");
        cluster.request(at, index % NODES, "trento");
    }
    offer(&mut cluster, "padova", offered, node_of);
    let used = cluster.uses["padova"].len();
    assert_eq!(used, ((END - WARM) as f64 * offered) as usize);
}

/// Guards against units that stay unused for longer than the life of a ticket.
fn assert_resumed() {
    for offset in (0..1400).step_by(100) {
        let mut cluster = cluster(&[("padova", 100.0, 100.0)]);
        let crash = Duration::from_millis(10_000 + offset);
        cluster.run_until(Duration::from_secs(WARM));
        let home = cluster.home_of("padova");
        cluster.remove(crash, home);
        offer(&mut cluster, "padova", 100.0, if home == 0 { |_| 1 } else { |_| 0 });
        let after: Vec<_> = cluster.uses["padova"].iter().filter(|it| **it > crash).collect();
        let gap = after.windows(2).map(|it| *it[1] - *it[0]).max();
        assert!(gap.is_some_and(|it| it < Duration::from_millis(2500)), "{offset}: {gap:?}");
    }
}

/// Guards against a token request per refused request.
fn assert_few_token_requests() {
    let mut cluster = cluster(&[("padova", 100.0, 100.0)]);
    offer(&mut cluster, "padova", 1000.0, |it| it % NODES);
    let sent = cluster.token_requests["padova"];
    let allowed = (END - WARM) * 60;
    assert!(sent < allowed, "{sent} token requests, {allowed} allowed");
}
