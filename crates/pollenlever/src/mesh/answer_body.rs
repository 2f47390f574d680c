use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenlever_core::memory::{MessageKind, SMALL_MESSAGE_BYTES};
use pollenlever_core::mesh::{AnswerBytes, AnswerTooLong};
use thiserror::Error;

use crate::bounds::{MemoryError, MessageMemory, Reservation};

/// Longest wait for more memory while an answer is read. Most targets cut an answer that is not read for
/// some seconds.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(5);
/// An answer of unknown length takes memory in steps, each larger than the one before by this factor.
const GROWTH_FACTOR: usize = 4;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    #[error("{0}")]
    TooLong(#[from] AnswerTooLong),
    #[error("{0}")]
    Memory(#[from] MemoryError),
}

/// Reads the body of an answer to its end. It takes its memory before it is read, and the target is not
/// read while it waits. Its parts are copied into one buffer as they come: kept apart, many short ones
/// would take far more memory than their bytes.
pub(super) async fn read_body(
    mut body: Incoming,
    bytes: &AnswerBytes,
    memory: &MessageMemory,
) -> Result<Bytes, BodyError> {
    let len = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
    if len == Some(0) {
        return Ok(Bytes::new());
    }
    bytes.check_length(len.unwrap_or_default())?;
    let first_bytes = len.unwrap_or(SMALL_MESSAGE_BYTES);
    let mut reservation = memory.reserve(MessageKind::Answer, first_bytes, MAX_MEMORY_WAIT).await?;
    let mut buf = BytesMut::with_capacity(len.unwrap_or_default());
    while let Some(part) = next_part(&mut body, bytes).await? {
        let read = buf.len() + part.len();
        if read > reservation.bytes() {
            grow(&mut reservation, read, memory).await?;
        }
        buf.extend_from_slice(&part);
    }
    Ok(reservation.bind(buf.freeze()))
}

/// Takes memory for an answer of which `read` bytes have come.
async fn grow(
    reservation: &mut Reservation,
    read: usize,
    memory: &MessageMemory,
) -> Result<(), MemoryError> {
    let available = memory.max_message_bytes(MessageKind::Answer);
    let next = reservation.bytes().max(read).saturating_mul(GROWTH_FACTOR);
    reservation.grow(next.min(available).max(read), MAX_MEMORY_WAIT).await
}

/// The next part with data; `None` at the end.
async fn next_part(body: &mut Incoming, bytes: &AnswerBytes) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        bytes.record_part()?;
        if let Ok(data) = frame?.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}
