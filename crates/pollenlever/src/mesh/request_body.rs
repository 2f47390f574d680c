use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use pollenlever_core::answer::ErrorKind;
use pollenlever_core::memory::{MessageKind, SMALL_MESSAGE_BYTES};
use tokio::time::timeout;

use crate::bounds::{ConnectionSlot, MemoryError, MessageMemory, Reservation};

/// A body waits for its memory for at most the time in which it is to be read, divided by this.
const MEMORY_WAIT_DIVISOR: u32 = 2;
/// A body of unknown length takes memory in steps, each larger than the one before by this factor.
const GROWTH_FACTOR: usize = 4;

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
        let first_bytes = len.unwrap_or(SMALL_MESSAGE_BYTES.min(self.max_bytes));
        let reserved = self.memory.reserve(MessageKind::Body, first_bytes, self.max_wait()).await;
        let mut reservation = reserved.map_err(memory_error)?;
        let mut held = self.slot.hold(reservation.bytes());
        let mut buf = BytesMut::with_capacity(len.unwrap_or_default());
        while let Some(frame) = self.next_frame(&mut body).await {
            let frame = frame.map_err(|err| {
                log::debug!("body of a request not read reason={:?}", err.to_string());
                ErrorKind::MalformedRequest
            })?;
            let Ok(data) = frame.into_data() else { continue };
            let read = buf.len() + data.len();
            if read > self.max_bytes {
                return Err(ErrorKind::BodyTooLarge);
            }
            if read > reservation.bytes() {
                self.grow(&mut reservation, read).await?;
                held = self.slot.hold(reservation.bytes());
            }
            buf.extend_from_slice(&data);
        }
        drop(held);
        Ok(reservation.bind(buf.freeze()))
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

    /// Takes memory for a body of which `read` bytes have come.
    async fn grow(&self, reservation: &mut Reservation, read: usize) -> Result<(), ErrorKind> {
        let available = self.memory.max_message_bytes(MessageKind::Body);
        let next = reservation.bytes().max(read).saturating_mul(GROWTH_FACTOR);
        let bytes = next.min(self.max_bytes).min(available).max(read);
        reservation.grow(bytes, self.max_wait()).await.map_err(memory_error)
    }

    fn max_wait(&self) -> Duration {
        self.max_time / MEMORY_WAIT_DIVISOR
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
