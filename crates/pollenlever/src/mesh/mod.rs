//! The node of an HTTP service mesh: the process beside a VM (a machine) and its target (a server
//! process). It takes requests from callers on the VM and from the target, and sends them to the
//! gate, the admission control, of a node whose target runs the requested service. A target gets
//! requests only from the gate of its own node.

mod answer_body;
mod answer_statement;
mod control_server;
mod departure_object;
mod departure_store;
mod downstream;
mod edge_answer;
mod edge_connection;
mod edge_server;
mod forwarded_headers;
mod gate;
mod gate_admission;
mod gate_calls;
mod gate_log;
mod gate_run;
mod gate_shared;
mod gate_state;
mod gate_suspects;
mod gate_target;
mod hangup_io;
mod header_names;
mod idle_limit;
mod log_event;
mod member_changes;
mod mesh_handler;
mod mesh_metrics;
mod mesh_node;
mod mesh_platform;
mod mesh_shared;
mod pending_request;
mod pipeline;
mod pipelined_answer;
mod request_dispatcher;
mod request_frame;
mod request_log;
mod request_sender;
mod route_spread;
mod route_watch;
mod routed_request;
mod routes_in_force;
mod run_mesh;
mod run_start;
mod sent_attempt;
mod slot_guard;
mod stated_rate;
mod statement_log;
mod store_backoff;
mod suspicion_exchange;
mod target_client;
mod target_connection;
mod target_result;
mod target_run;
mod target_state;

pub use control_server::{ControlAnswer, ControlHandler, SharedControlHandler};
pub use header_names::HeaderNames;
pub use log_event::LogEvent;
pub use mesh_node::MeshNode;
pub use mesh_platform::{MeshPlatform, RouteError, SharedMeshPlatform};
pub use mesh_shared::MeshShared;
pub use run_mesh::run_mesh;
