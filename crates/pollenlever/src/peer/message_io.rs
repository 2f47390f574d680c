use std::future::poll_fn;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use super::WireError;
use super::codec::MAX_HEAD_BYTES;
use crate::node::BodyMemory;

/// Longest wait for the memory of a body. Its stream is not read meanwhile, which takes up part of the
/// window of its connection.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(300);
/// Bytes before the head: the lengths of head and body, as big-endian `u32`.
const PREFIX_BYTES: usize = 8;

/// Sends the lengths, the head and the body, and ends the stream.
pub(super) async fn send_message(
    stream: &mut SendStream<Bytes>,
    head: &Bytes,
    body: Bytes,
) -> Result<(), WireError> {
    let mut prefix_and_head = BytesMut::with_capacity(PREFIX_BYTES + head.len());
    prefix_and_head.put_u32(head.len() as u32);
    prefix_and_head.put_u32(body.len() as u32);
    prefix_and_head.put_slice(head);
    let body_is_empty = body.is_empty();
    send_data(stream, prefix_and_head.freeze(), body_is_empty).await?;
    if body_is_empty { Ok(()) } else { send_data(stream, body, true).await }
}

async fn send_data(
    stream: &mut SendStream<Bytes>,
    mut data: Bytes,
    end: bool,
) -> Result<(), WireError> {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let granted = poll_fn(|cx| stream.poll_capacity(cx)).await;
        let granted = granted.ok_or_else(|| WireError::Stream("stream closed".to_owned()))?;
        let granted = granted.map_err(stream_error)?;
        let part = data.split_to(granted.min(data.len()));
        let is_last = data.is_empty();
        stream.send_data(part, end && is_last).map_err(stream_error)?;
    }
    Ok(())
}

/// Reads a whole message, checks it against its declared lengths and returns head and body. With
/// `memory`, the body takes its memory there before it is read.
pub(super) async fn recv_message(
    stream: &mut RecvStream,
    max_body_bytes: usize,
    memory: Option<&BodyMemory>,
) -> Result<(Bytes, Bytes), WireError> {
    let mut buf = BytesMut::new();
    let mut lengths = None;
    let mut reservation = None;
    while let Some(data) = stream.data().await {
        let data = data.map_err(stream_error)?;
        let _ = stream.flow_control().release_capacity(data.len());
        buf.put_slice(&data);
        if lengths.is_none() && buf.len() >= PREFIX_BYTES {
            let (head, body) = read_lengths(&mut buf, max_body_bytes)?;
            lengths = Some((head, body));
            if let Some(memory) = memory.filter(|_| body > 0) {
                reservation = Some(memory.reserve(body, MAX_MEMORY_WAIT).await?);
            }
            buf.reserve((head + body).saturating_sub(buf.len()));
        }
        if let Some((head, body)) = lengths
            && buf.len() > head + body
        {
            return Err(WireError::Overlong { declared: head + body });
        }
    }
    let (head, body) =
        lengths.ok_or(WireError::Truncated { received: buf.len(), declared: PREFIX_BYTES })?;
    if buf.len() != head + body {
        return Err(WireError::Truncated { received: buf.len(), declared: head + body });
    }
    let head = buf.split_to(head).freeze();
    let body = buf.freeze();
    let body = match reservation {
        Some(reservation) => reservation.bind(body),
        None => body,
    };
    Ok((head, body))
}

fn read_lengths(buf: &mut BytesMut, max_body_bytes: usize) -> Result<(usize, usize), WireError> {
    let head = buf.get_u32() as usize;
    let body = buf.get_u32() as usize;
    if head > MAX_HEAD_BYTES {
        return Err(WireError::HeadTooLarge { declared: head, limit: MAX_HEAD_BYTES });
    }
    if body > max_body_bytes {
        return Err(WireError::BodyTooLarge { declared: body, limit: max_body_bytes });
    }
    Ok((head, body))
}

pub(super) fn stream_error(err: h2::Error) -> WireError {
    WireError::Stream(err.to_string())
}
