//! A node that carries the HTTP traffic of a service mesh: callers and the target on its own VM
//! send requests to it, and it alone hands requests to that target.

mod control_server;
mod edge_answer;
mod edge_connection;
mod edge_server;
mod forwarded_headers;
mod gate;
mod gate_log;
mod gate_state;
mod hangup_io;
mod header_names;
mod idle_limit;
mod log_event;
mod member_object;
mod member_watch;
mod mesh_handler;
mod mesh_metrics;
mod mesh_node;
mod mesh_platform;
mod mesh_shared;
mod neighbours;
mod open_request;
mod owned_request;
mod owner;
mod pipeline;
mod pipelined_answer;
mod request_frame;
mod request_log;
mod route_watch;
mod run_mesh;
mod sent_attempt;
mod slot_guard;
mod store_wait;
mod target_client;
mod target_connection;
mod target_result;

pub use control_server::{BoxControlHandler, ControlAnswer, ControlHandler};
pub use header_names::HeaderNames;
pub use log_event::LogEvent;
pub use member_object::{MemberObject, TargetIdentity};
pub use mesh_node::MeshNode;
pub use mesh_platform::{BoxMeshPlatform, MeshPlatform, RouteFault};
pub use mesh_shared::MeshShared;
pub use run_mesh::run_mesh;
