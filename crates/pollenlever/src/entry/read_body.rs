use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::memory::MessageKind;
use tokio::time::timeout;

use crate::bounds::{ConnectionSlot, CountedBody, MemoryError, MessageMemory};

/// Timeout for reading the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for the memory of a body, or of its next part.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(5);

/// The body of a request, which is read before its route is looked up, or why it was not read.
#[derive(Debug, Clone)]
pub(super) struct ReadBody(pub(super) Result<Bytes, ErrorKind>);

impl ReadBody {
    /// Reads the body of a request on the connection of `slot`, up to `max_bytes`. It takes its memory before.
    pub(super) async fn read(
        body: Incoming,
        max_bytes: usize,
        memory: &MessageMemory,
        slot: &Arc<ConnectionSlot>,
    ) -> ReadBody {
        let read = timeout(BODY_TIMEOUT, read_frames(body, max_bytes, memory, slot)).await;
        ReadBody(read.unwrap_or(Err(ErrorKind::MalformedRequest)))
    }
}

async fn read_frames(
    mut body: Incoming,
    max_bytes: usize,
    memory: &MessageMemory,
    slot: &Arc<ConnectionSlot>,
) -> Result<Bytes, ErrorKind> {
    let len = body.size_hint().exact();
    if len == Some(0) {
        return Ok(Bytes::new());
    }
    if len.is_some_and(|it| it > max_bytes as u64) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let len = len.map(|it| it as usize);
    let started = CountedBody::start(memory, MessageKind::Body, len, MAX_MEMORY_WAIT).await;
    let mut read = started.map_err(memory_error)?;
    let mut held = slot.hold(read.reserved_bytes());
    loop {
        slot.set_receiving(true);
        let frame = body.frame().await;
        slot.set_receiving(false);
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| ErrorKind::MalformedRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        slot.record_progress(data.len());
        if read.len() + data.len() > max_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        read.push(&data, max_bytes).await.map_err(memory_error)?;
        if read.reserved_bytes() > held.bytes() {
            held = slot.hold(read.reserved_bytes());
        }
    }
    drop(held);
    Ok(read.finish())
}

fn memory_error(err: MemoryError) -> ErrorKind {
    match err {
        MemoryError::Taken => ErrorKind::QueueFull,
        MemoryError::TooLarge { .. } => ErrorKind::BodyTooLarge,
    }
}
