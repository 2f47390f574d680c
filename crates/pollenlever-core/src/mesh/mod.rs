//! Decision logic of a node that carries the HTTP traffic of a service mesh: routes, the target
//! beside the node, retries and the retry budget.
//!
//! The node that receives a request from its caller is the owner of the request: it alone decides
//! where the request is sent. The node beside a target (server process) is the gate of that target:
//! requests reach the target only through it. Owners and gates decide without consensus.

mod answer_bytes;
mod answer_limits;
mod attempt_in_flight;
mod attempt_ledger;
mod attempt_outcome;
mod call_classifier;
mod call_outlook;
mod call_stats;
mod chain_admission;
mod client_limits;
mod crash_suspects;
mod delivery;
mod departed_target;
mod departure_confirmation;
mod departure_keepers;
mod departure_recall;
mod failure_rate;
mod forgotten_attempts;
mod http_route;
mod keeper_candidates;
mod kept_departures;
mod latest_slowdown;
mod latest_statement;
mod lineage;
mod mesh_attempt;
mod mesh_reply;
mod mesh_request;
mod node_count;
mod recent_counts;
mod remembered_statements;
mod reported_load;
mod request_class;
mod retry_budget;
mod retry_budget_settings;
mod retry_priority;
mod route_confirmation;
mod route_freshness;
mod route_table;
mod running_requests;
mod service_counts;
mod service_limits;
mod store_duty;
mod stored_departure;
mod target_registry;
mod target_report;
mod target_statement;
mod watch_wait;
mod weighted_service;
mod weighted_split;

pub use answer_bytes::{AnswerBytes, AnswerTooLong};
pub use answer_limits::AnswerLimits;
pub use attempt_in_flight::AttemptInFlight;
pub use attempt_ledger::{AttemptLedger, AttemptStage};
pub use attempt_outcome::AttemptOutcome;
pub use call_classifier::CallClassifier;
pub use call_outlook::CallOutlook;
pub use call_stats::CallStats;
pub use chain_admission::ChainAdmission;
pub use client_limits::ClientLimits;
pub use crash_suspects::CrashSuspects;
pub use delivery::{Delivery, NextStep, is_not_run_status};
pub use departed_target::DepartedTarget;
pub use departure_confirmation::{ConfirmationState, DepartureConfirmation};
pub use departure_keepers::{DepartureKeepers, MIN_KEEPERS};
pub use departure_recall::DepartureRecall;
pub use failure_rate::FailureRate;
pub use http_route::HttpRoute;
pub use keeper_candidates::keeper_candidates;
pub use kept_departures::KeptDepartures;
pub use latest_slowdown::LatestSlowdown;
pub use latest_statement::LatestStatement;
pub use lineage::Lineage;
pub use mesh_attempt::MeshAttempt;
pub use mesh_reply::{AttemptReply, MeshReply};
pub use mesh_request::MeshRequest;
pub use remembered_statements::RememberedStatements;
pub use reported_load::{ReportedLoad, ReportedLoadError};
pub use request_class::RequestClass;
pub use retry_budget::{RetryBudget, RetryDecision};
pub use retry_budget_settings::RetryBudgetSettings;
pub use retry_priority::RetryPriority;
pub use route_confirmation::RouteConfirmation;
pub use route_freshness::RouteFreshness;
pub use route_table::{RouteTable, RouteVersion};
pub use running_requests::{RunningRequest, RunningRequests};
pub use service_limits::ServiceLimits;
pub use store_duty::{StoreDuty, StoreDutyChoice, WATCHERS_PER_REGION};
pub use stored_departure::{StoreStep, StoredDeparture};
pub use target_registry::{RegistryChange, TargetRegistry};
pub use target_report::{InstanceId, StartTime, TargetReport};
pub use target_statement::{ProcessStatement, RequestsPerSecond, TargetStatement};
pub use watch_wait::WatchWait;
pub use weighted_service::WeightedService;
pub use weighted_split::WeightedSplit;

use std::sync::Arc;

/// Id that a caller gives to a request; each retry by the caller itself has an id of its own.
pub type RequestId = Arc<str>;
