use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use pollenlever_core::mesh::{AnswerBytes, AnswerTooLong};
use thiserror::Error;

/// Why a body could not be read to its end.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    #[error("{0}")]
    TooLong(#[from] AnswerTooLong),
}

/// Reads the body of an answer to its end. Its parts are copied into one buffer as they come: kept
/// apart, many short ones would take far more memory than their bytes.
pub(super) async fn read_body(mut body: Incoming, bytes: &AnswerBytes) -> Result<Bytes, BodyError> {
    let Some(first) = next_part(&mut body, bytes).await? else { return Ok(Bytes::new()) };
    if body.is_end_stream() {
        return Ok(first);
    }
    let mut buf = BytesMut::from(first);
    while let Some(part) = next_part(&mut body, bytes).await? {
        buf.extend_from_slice(&part);
    }
    Ok(buf.freeze())
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
