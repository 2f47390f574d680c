//! What a node says about itself to operators.

mod support;

use support::TestNode;

/// Names a case: the query decides how many members are shown.
macro_rules! shown {
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

shown! {
    all_members: "" => 1;
    all_members_on_request: "?members=true" => 1;
    no_members_on_request: "?members=false" => 0;
}
