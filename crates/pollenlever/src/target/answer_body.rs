use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenlever_core::memory::MessageKind;
use pollenlever_core::mesh::{AnswerBytes, AnswerTooLong};
use thiserror::Error;

use crate::bounds::{CountedBody, MemoryError, MessageMemory};

/// Longest wait for more memory while an answer is read. Most targets cut an answer that is not read for
/// some seconds.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(5);

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    #[error("{0}")]
    TooLong(#[from] AnswerTooLong),
    #[error("{0}")]
    Memory(#[from] MemoryError),
}

/// Reads the body of an answer to its end. It takes its memory before it is read, and the target is not
/// read while it waits.
pub(crate) async fn read_body(
    mut body: Incoming,
    bytes: &AnswerBytes,
    memory: &MessageMemory,
) -> Result<Bytes, BodyError> {
    let len = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
    if len == Some(0) {
        return Ok(Bytes::new());
    }
    bytes.check_length(len.unwrap_or_default())?;
    let kind = MessageKind::TargetAnswer;
    let mut read = CountedBody::start(memory, kind, len, MAX_MEMORY_WAIT).await?;
    while let Some(part) = next_part(&mut body, bytes).await? {
        read.push(&part, usize::MAX).await?;
    }
    Ok(read.finish())
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
