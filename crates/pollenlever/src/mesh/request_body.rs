use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenlever_core::answer::ErrorKind;
use tokio::time::timeout;

use crate::node::{BodyMemory, BodyMemoryError, BodyReservation, SMALL_BODY_BYTES};

/// A body waits for its memory for at most the time in which it is to be read, divided by this.
const MEMORY_WAIT_DIVISOR: u32 = 2;

/// Reads the body of a request of at most `max_bytes`, within `max_time`. It takes its memory first.
///
/// # Errors
///
/// The kind of error to answer the request with.
pub(super) async fn read_request_body(
    memory: &BodyMemory,
    body: Incoming,
    max_bytes: usize,
    max_time: Duration,
) -> Result<Bytes, ErrorKind> {
    let len = body.size_hint().exact();
    if len == Some(0) {
        return Ok(Bytes::new());
    }
    if len.is_some_and(|it| it > max_bytes as u64) {
        return Err(ErrorKind::BodyTooLarge);
    }
    let len = len.map(|it| it as usize);
    let reader = BodyReader { memory, max_bytes, max_wait: max_time / MEMORY_WAIT_DIVISOR };
    let read = timeout(max_time, reader.read(body, len)).await;
    read.unwrap_or(Err(ErrorKind::DeadlineTooShort))
}

struct BodyReader<'a> {
    memory: &'a BodyMemory,
    max_bytes: usize,
    /// Longest wait for memory.
    max_wait: Duration,
}

impl BodyReader<'_> {
    /// Reads a body of length `len`, if that is known.
    async fn read(&self, mut body: Incoming, len: Option<usize>) -> Result<Bytes, ErrorKind> {
        let mut reservation = self.reserve(len.unwrap_or(SMALL_BODY_BYTES)).await?;
        let mut buf = BytesMut::with_capacity(len.unwrap_or_default());
        while let Some(frame) = body.frame().await {
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
                // A body of unknown length may become as large as any.
                reservation = self.reserve(self.max_bytes).await?;
            }
            buf.extend_from_slice(&data);
        }
        Ok(reservation.bind(buf.freeze()))
    }

    async fn reserve(&self, bytes: usize) -> Result<BodyReservation, ErrorKind> {
        self.memory.reserve(bytes, self.max_wait).await.map_err(|err| match err {
            BodyMemoryError::Taken => ErrorKind::QueueFull,
            BodyMemoryError::TooLarge { .. } => {
                log::warn!("request refused reason={:?}", err.to_string());
                ErrorKind::BodyTooLarge
            }
        })
    }
}
