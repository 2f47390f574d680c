use std::future::poll_fn;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use pollenlever_core::memory::MessageKind;

use super::WireError;
use super::codec::MAX_HEAD_BYTES;
use crate::bounds::{MemoryError, MessageMemory, Reservation};

/// Longest wait for the memory of a request's body. Its stream is not read meanwhile, which takes up part
/// of the window of its connection.
const MAX_BODY_WAIT: Duration = Duration::from_millis(300);
/// Longest wait for the memory of an answer, whose request has run.
const MAX_ANSWER_WAIT: Duration = Duration::from_secs(60);
/// Most answers of other nodes that wait for memory. Each may take up a stream's window, and together they
/// leave room in the window of a connection.
const MAX_WAITING_ANSWERS: usize = 32;
/// Bytes before the head: the lengths of head and body, as big-endian `u32`.
const PREFIX_BYTES: usize = 8;

/// What the body of a received message is, and where it takes its memory.
#[derive(Debug, Clone, Copy)]
pub(super) struct MessageSource<'a> {
    pub(super) memory: &'a MessageMemory,
    pub(super) kind: MessageKind,
}

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
/// `source`, the body takes its memory there before it is read.
pub(super) async fn recv_message(
    stream: &mut RecvStream,
    max_body_bytes: usize,
    source: Option<MessageSource<'_>>,
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
            if let Some(source) = source.filter(|_| body > 0) {
                reservation = Some(source.reserve(body).await?);
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

impl MessageSource<'_> {
    async fn reserve(&self, bytes: usize) -> Result<Reservation, MemoryError> {
        let max_wait = match self.kind {
            MessageKind::Body => MAX_BODY_WAIT,
            _ if self.is_crowded(bytes) => Duration::ZERO,
            MessageKind::TargetAnswer | MessageKind::PeerAnswer => MAX_ANSWER_WAIT,
        };
        self.memory.reserve(self.kind, bytes, max_wait).await
    }

    fn is_crowded(&self, bytes: usize) -> bool {
        self.memory.waiting_count(self.kind, bytes) >= MAX_WAITING_ANSWERS
    }
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
