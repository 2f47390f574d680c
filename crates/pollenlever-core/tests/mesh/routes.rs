use std::time::Duration;

use pollenlever_core::config::Importance;
use pollenlever_core::mesh::{CallClassifier, HttpRoute, RouteTable};

use crate::cases;

fn table() -> RouteTable {
    let route = |host: &str, prefix: &str| HttpRoute {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        ..HttpRoute::default()
    };
    let routes =
        vec![route("a.example", "/a/"), route("a.example", "/a/b/"), route("b.example", "/a/")];
    RouteTable { routes, ..RouteTable::default() }
}

fn check(host: &str, path: &str, expected: Option<&str>) {
    assert_eq!(table().find(host, path).map(|it| &*it.name), expected);
}

cases! { check:
    a_prefix_matches_paths_below_it => "a.example", "/a/7", Some("a.example/a/");
    a_prefix_matches_itself => "a.example", "/a/", Some("a.example/a/");
    a_path_without_the_final_slash_does_not_match => "a.example", "/a", None;
    a_longer_path_segment_does_not_match => "a.example", "/ab/", None;
    the_longest_prefix_wins => "a.example", "/a/b/c", Some("a.example/a/b/");
    hosts_have_separate_routes => "b.example", "/a/b/c", Some("b.example/a/");
    a_host_matches_regardless_of_case_and_port => "B.Example:8080", "/a/x", Some("b.example/a/");
    an_unknown_host_has_no_route => "c.example", "/a/x", None;
    a_slash_in_a_query_is_not_part_of_the_path => "a.example", "/a?/a/b/", None;
    a_query_is_ignored => "a.example", "/a/?b", Some("a.example/a/");
}

#[test]
fn a_route_with_a_lower_shed_order_is_shed_later() {
    let importance = |shed_order| HttpRoute { shed_order, ..HttpRoute::default() }.importance();
    assert_eq!(importance(0), Importance::Critical);
    assert!((0..4).all(|order| importance(order) > importance(order + 1) || order == 3));
    assert_eq!(importance(9), Importance::Sheddable);
}

/// Checks whether the last of several requests of a route is classified as a call. Each request has
/// its deadline and the latest deadline of the target's runs, if there are any, in milliseconds.
fn check_call(requests: &[(u64, Option<u64>)], expected: bool) {
    let mut classifier = CallClassifier::default();
    let is_call = |(deadline, last_run): &(u64, Option<u64>)| {
        let last_run = last_run.map(Duration::from_millis);
        classifier.is_call(&"route".into(), Duration::from_millis(*deadline), last_run)
    };
    assert_eq!(requests.iter().map(is_call).last(), Some(expected));
}

cases! { check_call:
    a_deadline_before_that_of_a_run_means_a_call => &[(700, Some(800))], true;
    a_deadline_after_all_runs_means_no_call => &[(5000, Some(800))], false;
    without_a_run_there_are_no_calls => &[(700, None)], false;
    after_a_callers_request_a_route_serves_callers_for_a_while => &[(5000, Some(800)), (700, Some(800))], false;
    a_single_call_after_its_run_does_not_make_a_route_serve_callers => &[(700, Some(800)), (700, Some(800)), (700, None)], true;
}
