use pollenlever_core::config::Importance;
use pollenlever_core::mesh::{HttpRoute, RouteTable};

use crate::cases;

fn table() -> RouteTable {
    let route = |host: &str, prefix: &str| HttpRoute {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        path_prefix: prefix.into(),
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
    a_prefix_covers_what_is_beneath => "a.example", "/a/7", Some("a.example/a/");
    a_prefix_covers_itself => "a.example", "/a/", Some("a.example/a/");
    a_path_without_the_last_slash_is_outside => "a.example", "/a", None;
    a_longer_word_is_outside => "a.example", "/ab/", None;
    the_longest_prefix_wins => "a.example", "/a/b/c", Some("a.example/a/b/");
    hosts_are_told_apart => "b.example", "/a/b/c", Some("b.example/a/");
    a_host_is_read_without_case_and_port => "B.Example:8080", "/a/x", Some("b.example/a/");
    an_unknown_host_has_no_route => "c.example", "/a/x", None;
    a_slash_in_a_query_is_no_path => "a.example", "/a?/a/b/", None;
    a_query_is_ignored => "a.example", "/a/?b", Some("a.example/a/");
}

#[test]
fn a_lower_rank_is_shed_later() {
    let importance = |rank| HttpRoute { rank, ..HttpRoute::default() }.importance();
    assert_eq!(importance(0), Importance::Critical);
    assert!((0..4).all(|rank| importance(rank) > importance(rank + 1) || rank == 3));
    assert_eq!(importance(9), Importance::Sheddable);
}
