//! One message of each kind, with every field set to a value of its own.

mod as_read;
mod control;
mod quota;
mod routes;

use std::time::Duration;

use control::{buckets, config, handover, suspicion, sync};
use pollenlever_core::answer::{Answer, ErrorKind, Outcome};
use pollenlever_core::config::Importance;
use pollenlever_core::mesh::{
    AttemptOutcome, AttemptReply, DepartedTarget, Lineage, MeshAttempt, MeshReply, MeshRequest,
    ProcessStatement, TargetStatement,
};
use pollenlever_core::message::{
    AttemptHead, ForwardHead, GateLoad, PeerReply, PeerRequest, SealReply,
};
use quota::{delegation, delegation_reply, token_grant, token_request};
use routes::{confirmation, route_table};

pub(crate) use as_read::{
    reply_in_version_4, reply_in_version_5, reply_in_version_8, request_in_version_4,
    request_in_version_6, request_in_version_7, request_in_version_8,
};

/// Names and requests.
pub(crate) fn requests() -> Vec<(&'static str, PeerRequest)> {
    let mesh = |it| PeerRequest::Mesh(it);
    vec![
        ("attempt", PeerRequest::Attempt(attempt_head())),
        ("forward", PeerRequest::Forward(forward_head())),
        ("grant", PeerRequest::Grant(id("10.1.0.8:7300@1f~2a"))),
        ("seal", PeerRequest::Seal(id("10.1.0.8:7300@1f~2b"))),
        ("handover", PeerRequest::Handover(handover())),
        ("suspects", PeerRequest::Suspects(vec![suspicion()])),
        ("gossip-push", PeerRequest::Gossip(control::push())),
        ("gossip-sync", PeerRequest::Gossip(sync())),
        ("config", PeerRequest::Config(config())),
        ("mesh-attempt", mesh(MeshRequest::Attempt(Box::new(mesh_attempt())))),
        ("mesh-seal", mesh(MeshRequest::Seal(id("10.1.0.8:7300@1f~2b")))),
        ("mesh-offer-routes", mesh(MeshRequest::OfferRoutes(700))),
        ("mesh-suspects", mesh(MeshRequest::Suspects(vec![suspicion()]))),
        ("mesh-routes", mesh(MeshRequest::Routes(699))),
        ("mesh-delegate-shares", mesh(MeshRequest::DelegateShares(delegation()))),
        ("mesh-take-tokens", mesh(MeshRequest::TakeTokens(vec![token_request()]))),
        ("mesh-share-table-written", mesh(MeshRequest::ShareTableWritten)),
        ("mesh-quota-shards", mesh(MeshRequest::QuotaShards)),
        ("mesh-confirm-routes", mesh(MeshRequest::ConfirmRoutes(confirmation()))),
        ("mesh-keep-departure", mesh(MeshRequest::KeepDeparture(departed()))),
        ("mesh-recall-departure", mesh(MeshRequest::RecallDeparture(departed()))),
        ("mesh-kept-departures", mesh(MeshRequest::KeptDepartures)),
    ]
}

/// Names and replies.
pub(crate) fn replies() -> Vec<(&'static str, PeerReply)> {
    let mesh = |it| PeerReply::Mesh(it);
    let routes_version = MeshReply::RoutesVersion { node: id("10.1.0.8:7300@1f"), version: 700 };
    let mut replies = vec![
        ("attempt", PeerReply::Attempt(answer(), gate_load())),
        ("forward", PeerReply::Forward(answer())),
        ("grant", PeerReply::Grant(true)),
        ("seal-ended", PeerReply::Seal(SealReply::Ended(answer()))),
        ("seal-unknown", PeerReply::Seal(SealReply::Unknown)),
        ("handover", PeerReply::Handover(true)),
        ("suspects", PeerReply::Suspects),
        ("gossip-buckets", PeerReply::Gossip(buckets())),
        ("config", PeerReply::Config(config())),
        ("mesh-sealed", mesh(MeshReply::Sealed(true))),
        ("mesh-routes-version", mesh(routes_version)),
        ("mesh-acknowledged", mesh(MeshReply::Acknowledged)),
        ("mesh-routes", mesh(MeshReply::Routes(Some(route_table())))),
        ("mesh-shares-delegated", mesh(MeshReply::SharesDelegated(delegation_reply()))),
        ("mesh-tokens", mesh(MeshReply::Tokens(vec![token_grant()]))),
        ("mesh-quota-shards", mesh(MeshReply::QuotaShards(8))),
        ("mesh-kept-departures", mesh(MeshReply::KeptDepartures(vec![departed()]))),
        ("refused", PeerReply::Refused(ErrorKind::WrongProtocolVersion)),
    ];
    let attempts = outcomes().into_iter().map(|(name, outcome)| {
        (name, mesh(MeshReply::Attempt(AttemptReply { outcome, ..attempt_reply() })))
    });
    replies.extend(attempts);
    replies
}

fn outcomes() -> Vec<(&'static str, AttemptOutcome)> {
    let refused = |error| AttemptOutcome::RefusedByGate {
        error,
        retry_after: Some(Duration::from_millis(1250)),
    };
    vec![
        ("mesh-answered", AttemptOutcome::Answered(200)),
        ("mesh-failed-downstream", AttemptOutcome::FailedDownstream(500)),
        ("mesh-rejected", AttemptOutcome::RejectedByTarget),
        ("mesh-refused-overloaded", refused(ErrorKind::Overloaded)),
        ("mesh-refused-leaving", refused(ErrorKind::Leaving)),
        ("mesh-refused-rate-limited", refused(ErrorKind::RateLimited)),
        ("mesh-not-sent", AttemptOutcome::NotSent),
        ("mesh-unknown", AttemptOutcome::Unknown),
    ]
}

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text}"))
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn text_headers() -> Vec<(String, String)> {
    vec![("accept".to_owned(), "text/plain".to_owned())]
}

fn byte_headers() -> Vec<(String, Vec<u8>)> {
    vec![("x-name".to_owned(), b"caf\xe9".to_vec())]
}

fn attempt_head() -> AttemptHead {
    let forward = forward_head();
    AttemptHead {
        id: id("10.1.0.8:7300@1f~2b"),
        chain: forward.chain,
        key: Some(forward.key),
        service: forward.service,
        method: forward.method,
        path: forward.path,
        headers: forward.headers,
        workspace: forward.workspace,
        importance: forward.importance,
        depth: forward.depth,
        time_left: forward.time_left,
        digest: forward.digest,
        is_retry: true,
        crashes: 1,
    }
}

fn forward_head() -> ForwardHead {
    ForwardHead {
        key: id("10.1.0.9:7300@2f~5~6~7"),
        chain: id("10.1.0.8:7300@1f~2a"),
        service: "charging".into(),
        method: "POST".to_owned(),
        path: "/charges/42?fresh=1".to_owned(),
        headers: text_headers(),
        workspace: "padova".into(),
        importance: Importance::Critical,
        depth: 2,
        time_left: ms(1500),
        digest: 0xdead_beef,
    }
}

fn mesh_attempt() -> MeshAttempt {
    MeshAttempt {
        id: id("10.1.0.8:7300@1f~2b"),
        request_id: "9c41d07be2a35f68".into(),
        service: "charging".into(),
        caller: "balance".into(),
        method: "POST".to_owned(),
        path: "/charges/42".to_owned(),
        headers: byte_headers(),
        lineage: Lineage {
            chain: id("10.1.0.8:7300@1f~2a"),
            importance: Importance::High,
            depth: 3,
            repeat: 0.25,
        },
        workspace: Some("padova".into()),
        is_idempotent: true,
        time_left: ms(1500),
        max_wait: ms(300),
        remembered: Some(statement()),
    }
}

fn statement() -> ProcessStatement {
    ProcessStatement {
        instance: "i-7f3a91c2".into(),
        started: 1_700_000_000_456,
        statement: TargetStatement { rate_limit: Some(5.1), is_leaving: true },
    }
}

fn gate_load() -> GateLoad {
    GateLoad {
        in_flight: 31,
        queued: 7,
        limit: 36,
        shed_below: Importance::High,
        queue_drain_time: ms(180),
        rate_limit_wait: ms(90),
        start_share_permille: 250,
        leaving: true,
        crashes: 1,
        failing_permille: 120,
        overload_failure_permille: 340,
        calls_per_100_runs: 560,
        expected_failure_permille: 780,
        admitted_permille: 910,
        slowdown_percent: 250,
    }
}

fn answer() -> Answer {
    Answer {
        status: 503,
        headers: text_headers(),
        outcome: Outcome::NotRun,
        error: Some(ErrorKind::RateLimited),
        retry_after: Some(ms(400)),
    }
}

fn attempt_reply() -> AttemptReply {
    AttemptReply {
        outcome: AttemptOutcome::Unknown,
        headers: byte_headers(),
        load: gate_load(),
        routes: 700,
        statement: Some(statement()),
    }
}

fn departed() -> DepartedTarget {
    DepartedTarget { instance: "i-7f3a".into(), started: 1_764_900_000_123 }
}
