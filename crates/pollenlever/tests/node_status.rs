//! The status page of a node for operators.

mod support;

use support::TestNode;

/// Generates one test per row: query of the status request and expected number of listed members.
macro_rules! member_count_cases {
    ($($name:ident: $query:literal => $members:literal;)*) => {$(
        #[test]
        fn $name() {
            let node = TestNode::start();
            let reply = node.get(concat!("/pollenlever/v1/status", $query));
            let status: serde_json::Value = serde_json::from_str(&reply.body).unwrap();
            assert_eq!(status["members"].as_array().unwrap().len(), $members);
            assert!(status["configs"]["balance"].is_u64());
        }
    )*};
}

member_count_cases! {
    all_members: "" => 1;
    all_members_on_request: "?members=true" => 1;
    no_members_on_request: "?members=false" => 0;
}
