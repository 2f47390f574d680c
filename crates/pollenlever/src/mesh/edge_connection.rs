use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, WriteHalf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use super::MeshShared;
use super::caller_request::CallerRequest;
use super::pipeline::Pipeline;
use super::pipelined_answer::{PipelinedAnswer, max_buf_bytes};
use super::request_frame::{BodyFrame, RequestFrame};
use super::stop_phase::StopPhase;
use crate::bounds::ConnectionSlot;
use crate::net::{
    MAX_READ_AHEAD_BYTES as MAX_CHUNKED_READ_AHEAD_BYTES, unsent_bytes, wait_until_taken,
};

/// Most requests of one connection that are processed at the same time.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// Most bytes buffered beyond the requests that are being processed.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// What a connection takes besides its buffer, in bytes: its tasks and their state.
const CONNECTION_BYTES: usize = 8 << 10;
/// What a request takes that is not answered, in bytes: the buffers and the task of its HTTP server.
const REQUEST_BYTES: usize = 32 << 10;
/// Copies of a head that the HTTP server makes before it refuses it: what is sent to it, and its buffer,
/// which it doubles as it grows.
const INVALID_HEAD_COPIES: usize = 3;
/// Time added to the configured timeouts for idle connections and slow request heads, so that a
/// caller that stays just within them does not have its connection closed.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Buffer for what a closed connection still sends, in bytes.
const LINGER_BUFFER_BYTES: usize = 4 << 10;

/// How serving a connection ended.
pub(super) enum ConnectionEnd {
    /// The caller or the node closed the connection.
    Closed,
    /// The next request has a chunked body. Holds the connection and the bytes of that request read
    /// so far.
    Chunked(TcpStream, BytesMut),
}

/// Why a connection takes no further requests.
enum ReadEnd {
    /// The caller is gone, or its answers cannot be written.
    HungUp,
    /// All answers that the caller is to get have been written.
    Close,
    /// The next request has a chunked body.
    Chunked,
}

/// A connection from a caller. Its pipelined requests run concurrently and are answered in order.
///
/// The connection's bytes are split into requests, and each request gets an HTTP server of its own.
/// The connection is read all the time, so that a hang-up is noticed even behind pipelined
/// requests.
pub(super) struct EdgeConnection {
    shared: Arc<MeshShared>,
    slot: Arc<ConnectionSlot>,
    io: OwnedReadHalf,
    buf: BytesMut,
    pipeline: Pipeline,
    answers: mpsc::Sender<PipelinedAnswer>,
    tasks: JoinSet<()>,
    /// When the connection became idle, or when the first bytes of an incomplete request arrived.
    waiting_since: Instant,
}

impl EdgeConnection {
    /// Serves a connection until it ends or a request with a chunked body arrives.
    pub(super) async fn serve(
        shared: Arc<MeshShared>,
        io: TcpStream,
        slot: Arc<ConnectionSlot>,
    ) -> ConnectionEnd {
        let (io, mut out) = io.into_split();
        let (answers, queue) = mpsc::channel(MAX_PIPELINED_REQUESTS);
        let pipeline = Pipeline::default();
        let mut connection = EdgeConnection {
            shared,
            slot: Arc::clone(&slot),
            io,
            buf: BytesMut::new(),
            pipeline: pipeline.clone(),
            answers,
            tasks: JoinSet::new(),
            waiting_since: Instant::now(),
        };
        let end = {
            let writer = write_answers(queue, &mut out, &pipeline, &slot);
            tokio::pin!(writer);
            tokio::select! {
                end = connection.read_requests() => end,
                end = &mut writer => end,
            }
        };
        match end {
            ReadEnd::HungUp => ConnectionEnd::Closed,
            ReadEnd::Close => {
                connection.linger(out).await;
                ConnectionEnd::Closed
            }
            ReadEnd::Chunked => connection.into_chunked(out),
        }
    }

    /// Ends the answers, and drops what the caller still sends until it has taken them or closes the
    /// connection.
    async fn linger(mut self, mut out: OwnedWriteHalf) {
        self.tasks.shutdown().await;
        self.buf = BytesMut::with_capacity(LINGER_BUFFER_BYTES);
        self.has_room(0);
        if let Err(err) = out.shutdown().await {
            log::debug!("connection of a caller not shut down reason={:?}", err.to_string());
            return;
        }
        let max_stall = self.shared.client_limits().idle_timeout + TIMEOUT_MARGIN;
        let taken = wait_until_taken(|| unsent_bytes(out.as_ref()), max_stall);
        let drained = async {
            while self.io.read_buf(&mut self.buf).await.is_ok_and(|it| it > 0) {
                self.buf.clear();
            }
        };
        tokio::select! {
            () = drained => {}
            () = taken => {}
        }
    }

    fn into_chunked(self, out: OwnedWriteHalf) -> ConnectionEnd {
        match self.io.reunite(out) {
            Ok(io) => ConnectionEnd::Chunked(io, self.buf),
            Err(err) => {
                log::error!("cannot reunite connection halves reason={:?}", err.to_string());
                ConnectionEnd::Closed
            }
        }
    }

    /// Reads and starts requests until no more can follow. On return all of them have been
    /// answered, unless the caller hung up.
    async fn read_requests(&mut self) -> ReadEnd {
        let mut stop_phase = self.shared.subscribe_stop_phase();
        loop {
            while self.tasks.try_join_next().is_some() {}
            if let Some(end) = self.start_requests().await {
                return self.wait_until_answered(end).await;
            }
            let phase = *stop_phase.borrow_and_update();
            if phase >= StopPhase::Leaving {
                self.pipeline.close_after_last();
            }
            let is_idle = self.pipeline.unanswered_count() == 0;
            if !self.has_room(0) {
                return ReadEnd::HungUp;
            }
            if is_idle {
                self.slot.set_receiving(!self.buf.is_empty());
            }
            let is_unused = phase >= StopPhase::Stopped && self.buf.is_empty();
            if is_idle && (self.pipeline.is_closing() || is_unused) {
                return ReadEnd::Close;
            }
            let limit = self.waiting_since + self.wait_timeout();
            tokio::select! {
                read = self.io.read_buf(&mut self.buf), if self.buf.len() < MAX_READ_AHEAD_BYTES => {
                    match read {
                        Ok(0) | Err(_) => return ReadEnd::HungUp,
                        // The first bytes of a request head.
                        Ok(len) if len == self.buf.len() => {
                            self.waiting_since = Instant::now();
                            self.slot.record_progress(len);
                        }
                        Ok(len) => self.slot.record_progress(len),
                    }
                }
                () = self.pipeline.wait_for_next_answer() => self.waiting_since = Instant::now(),
                () = sleep_until(limit), if is_idle => {
                    if !self.buf.is_empty() {
                        log::debug!("connection of a caller closed reason=\"slow head\"");
                    }
                    return ReadEnd::Close;
                }
                // The sender lives as long as the node.
                _ = stop_phase.changed() => {}
            }
        }
    }

    /// Longest time for which the connection may be idle, or a request head incomplete.
    fn wait_timeout(&self) -> Duration {
        let limits = self.shared.client_limits();
        let limit = if self.buf.is_empty() { limits.idle_timeout } else { limits.header_timeout };
        limit + TIMEOUT_MARGIN
    }

    /// Starts every request whose head is complete in the buffer. Returns the reason if no further
    /// request can follow.
    async fn start_requests(&mut self) -> Option<ReadEnd> {
        while !self.pipeline.is_closing()
            && self.pipeline.unanswered_count() < MAX_PIPELINED_REQUESTS as u64
        {
            match RequestFrame::parse(&self.buf) {
                RequestFrame::Partial if self.buf.len() < max_buf_bytes(&self.shared) => {
                    return None;
                }
                RequestFrame::Complete { body: BodyFrame::Chunked, .. } => {
                    if !self.has_room(chunked_bytes(&self.shared)) {
                        return Some(self.refuse(PipelinedAnswer::no_room()).await);
                    }
                    return Some(ReadEnd::Chunked);
                }
                RequestFrame::Complete { .. } if !self.has_room(REQUEST_BYTES) => {
                    return Some(self.refuse(PipelinedAnswer::no_room()).await);
                }
                RequestFrame::Complete { head_len, body: BodyFrame::Length(len) } => {
                    // A body over the limit is not read.
                    let is_last = len > self.shared.client_limits().max_body_bytes as u64;
                    if !self.start_request(head_len, len, is_last).await {
                        return Some(ReadEnd::HungUp);
                    }
                }
                RequestFrame::Ambiguous => {
                    return Some(self.refuse(PipelinedAnswer::ambiguous()).await);
                }
                RequestFrame::Invalid | RequestFrame::Partial
                    if !self.has_room(REQUEST_BYTES + INVALID_HEAD_COPIES * self.buf.len()) =>
                {
                    return Some(self.refuse(PipelinedAnswer::no_room()).await);
                }
                // The HTTP server answers with the specific error.
                RequestFrame::Invalid | RequestFrame::Partial => {
                    self.start_request(self.buf.len(), 0, true).await;
                    return Some(ReadEnd::Close);
                }
            }
        }
        None
    }

    /// Answers a request that is not read. The connection closes after it.
    async fn refuse(&mut self, answer: PipelinedAnswer) -> ReadEnd {
        if self.pipeline.add_last_request().is_some() {
            self.queue_answer(answer).await;
        }
        ReadEnd::Close
    }

    /// Whether there is room for the connection as it is, and for `more` bytes.
    fn has_room(&self, more: usize) -> bool {
        let requests = self.pipeline.unanswered_count() as usize * REQUEST_BYTES;
        self.slot.set_buffers(CONNECTION_BYTES + self.buf.capacity() + requests + more)
    }

    /// Starts a request and forwards its body, unless it is the `is_last` one whose answer closes the
    /// connection in any case. Returns whether the caller is still connected.
    async fn start_request(&mut self, head_len: usize, body_len: u64, is_last: bool) -> bool {
        let position =
            if is_last { self.pipeline.add_last_request() } else { self.pipeline.add_request() };
        // An answer that has begun meanwhile closes the connection.
        let Some(position) = position else { return true };
        let head = self.buf.split_to(head_len);
        let caller = CallerRequest { position, slot: Arc::clone(&self.slot) };
        let started = PipelinedAnswer::start(&self.shared, &head, caller, &mut self.tasks).await;
        let (answer, request) = started;
        self.queue_answer(answer).await;
        let is_connected = is_last || self.forward_body(body_len, request).await;
        self.waiting_since = Instant::now();
        is_connected
    }

    async fn queue_answer(&self, answer: PipelinedAnswer) {
        // The queue has room for every unanswered request. If its receiver is gone, the connection
        // is ending anyway.
        let _ = self.answers.send(answer).await;
    }

    /// Forwards a request body. Bytes that the HTTP server no longer accepts are read and dropped.
    /// Returns whether the caller is still connected.
    async fn forward_body(&mut self, mut left: u64, mut request: WriteHalf<DuplexStream>) -> bool {
        let mut is_accepted = true;
        while left > 0 {
            if self.buf.is_empty() {
                let limit = self.shared.client_limits().idle_timeout + TIMEOUT_MARGIN;
                let read = timeout(limit, self.io.read_buf(&mut self.buf)).await;
                if !read.is_ok_and(|it| it.is_ok_and(|it| it > 0)) {
                    return false;
                }
            }
            let len = self.buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
            is_accepted = is_accepted && request.write_all(&self.buf[..len]).await.is_ok();
            self.buf.advance(len);
            left -= len as u64;
        }
        if let Err(err) = request.shutdown().await {
            log::debug!("request body not forwarded reason={:?}", err.to_string());
        }
        true
    }

    /// Waits until all requests have been answered or the caller hangs up.
    async fn wait_until_answered(&mut self, end: ReadEnd) -> ReadEnd {
        while self.pipeline.unanswered_count() > 0 {
            if self.pipeline.has_ended() {
                return ReadEnd::Close;
            }
            tokio::select! {
                read = self.io.read_buf(&mut self.buf), if self.buf.len() < MAX_READ_AHEAD_BYTES => {
                    if !read.is_ok_and(|it| it > 0) {
                        return ReadEnd::HungUp;
                    }
                }
                () = self.pipeline.wait_for_next_answer() => {}
            }
        }
        end
    }
}

/// What a connection with a chunked body takes for the buffers of its HTTP server, in bytes.
fn chunked_bytes(shared: &MeshShared) -> usize {
    // The server doubles its buffer as it grows.
    2 * max_buf_bytes(shared) + MAX_CHUNKED_READ_AHEAD_BYTES
}

/// Writes answers in request order until one closes the connection.
async fn write_answers(
    mut queue: mpsc::Receiver<PipelinedAnswer>,
    out: &mut OwnedWriteHalf,
    pipeline: &Pipeline,
    slot: &ConnectionSlot,
) -> ReadEnd {
    while let Some(answer) = queue.recv().await {
        match answer.write_to(out, slot).await {
            Ok(true) => pipeline.record_answered(),
            Ok(false) => return ReadEnd::Close,
            Err(err) => {
                log::debug!("answer not written reason={:?}", err.to_string());
                return ReadEnd::HungUp;
            }
        }
        if pipeline.has_ended() {
            return ReadEnd::Close;
        }
    }
    ReadEnd::HungUp
}
