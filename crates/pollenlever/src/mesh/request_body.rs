use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::memory::MessageKind;
use tokio::time::timeout;

use crate::bounds::{ConnectionSlot, CountedBody, MemoryError, MessageMemory};

/// A body waits for its memory for at most the time in which it is to be read, divided by this.
const MEMORY_WAIT_DIVISOR: u32 = 2;

/// Reads the bodies of requests. A body takes its memory before it is read.
pub(super) struct BodyReader<'a> {
    pub(super) memory: &'a MessageMemory,
    /// Connection of the caller.
    pub(super) slot: &'a Arc<ConnectionSlot>,
    /// Largest body, in bytes.
    pub(super) max_bytes: usize,
    /// Longest time for a body.
    pub(super) max_time: Duration,
}

impl BodyReader<'_> {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// The kind of error to answer the request with.
    pub(super) async fn read(&self, body: Incoming) -> Result<Bytes, ErrorKind> {
        let len = body.size_hint().exact();
        if len == Some(0) {
            return Ok(Bytes::new());
        }
        if len.is_some_and(|it| it > self.max_bytes as u64) {
            return Err(ErrorKind::BodyTooLarge);
        }
        let len = len.map(|it| it as usize);
        let read = timeout(self.max_time, self.read_frames(body, len)).await;
        read.unwrap_or(Err(ErrorKind::DeadlineTooShort))
    }

    /// Reads a body of length `len`, if that is known.
    async fn read_frames(
        &self,
        mut body: Incoming,
        len: Option<usize>,
    ) -> Result<Bytes, ErrorKind> {
        let max_wait = self.max_time / MEMORY_WAIT_DIVISOR;
        let started = CountedBody::start(self.memory, MessageKind::Body, len, max_wait).await;
        let mut read = started.map_err(memory_error)?;
        let mut held = self.slot.hold(read.reserved_bytes());
        while let Some(frame) = self.next_frame(&mut body).await {
            let frame = frame.map_err(|err| {
                log::debug!("body of a request not read reason={:?}", err.to_string());
                ErrorKind::MalformedRequest
            })?;
            let Ok(data) = frame.into_data() else { continue };
            if read.len() + data.len() > self.max_bytes {
                return Err(ErrorKind::BodyTooLarge);
            }
            read.push(&data, self.max_bytes).await.map_err(memory_error)?;
            if read.reserved_bytes() > held.bytes() {
                held = self.slot.hold(read.reserved_bytes());
            }
        }
        drop(held);
        Ok(read.finish())
    }

    /// Reads on, as soon as the caller has sent more.
    async fn next_frame(&self, body: &mut Incoming) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        self.slot.set_receiving(true);
        let frame = body.frame().await;
        self.slot.set_receiving(false);
        if let Some(Ok(frame)) = &frame {
            self.slot.record_progress(frame.data_ref().map_or(0, Bytes::len));
        }
        frame
    }
}

fn memory_error(err: MemoryError) -> ErrorKind {
    match err {
        MemoryError::Taken => ErrorKind::QueueFull,
        MemoryError::TooLarge { .. } => {
            log::warn!("request refused reason={:?}", err.to_string());
            ErrorKind::BodyTooLarge
        }
    }
}
