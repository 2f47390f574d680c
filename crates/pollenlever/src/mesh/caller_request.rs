use std::sync::Arc;

use super::pipeline::PipelinePosition;
use crate::bounds::ConnectionSlot;

/// Where a request came from: its position on its connection, and the connection.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub(super) position: PipelinePosition,
    pub(super) slot: Arc<ConnectionSlot>,
}
