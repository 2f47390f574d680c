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
use super::pipeline::Pipeline;
use super::pipelined_answer::{PipelinedAnswer, max_buf_bytes};
use super::request_frame::{BodyFrame, RequestFrame};

/// Requests of one connection that are answered at once.
const MAX_PIPELINED: usize = 16;
/// Bytes that are read ahead of the requests that are answered.
const MAX_AHEAD_BYTES: usize = 64 << 10;
/// Time past the limits for idle connections and slow heads at which they are closed, so that a
/// caller that keeps to the limits does not meet the close.
const LIMIT_MARGIN: Duration = Duration::from_secs(2);

/// How a connection goes on.
pub(super) enum ConnectionEnd {
    /// The caller or the node has closed it.
    Closed,
    /// The next request, whose first bytes are given, comes in chunks.
    Chunked(TcpStream, BytesMut),
}

/// What the reader of a connection has come to.
enum ReadEnd {
    HungUp,
    Close,
    Chunked,
}

/// A connection of a caller. Its requests are answered at once, in their order.
///
/// The bytes are split between requests; each has a server of its own. The connection is read all
/// the time, so that a hang-up is seen also behind pipelined requests.
pub(super) struct EdgeConnection {
    shared: Arc<MeshShared>,
    io: OwnedReadHalf,
    buf: BytesMut,
    pipeline: Pipeline,
    answers: mpsc::Sender<PipelinedAnswer>,
    tasks: JoinSet<()>,
    /// Since when the connection has been idle, or its next request incomplete.
    waiting_since: Instant,
}

impl EdgeConnection {
    /// Serves a connection until it ends, or until a request comes in chunks.
    pub(super) async fn serve(shared: Arc<MeshShared>, io: TcpStream) -> ConnectionEnd {
        let (io, mut out) = io.into_split();
        let (answers, queue) = mpsc::channel(MAX_PIPELINED);
        let pipeline = Pipeline::default();
        let mut connection = EdgeConnection {
            shared,
            io,
            buf: BytesMut::new(),
            pipeline: pipeline.clone(),
            answers,
            tasks: JoinSet::new(),
            waiting_since: Instant::now(),
        };
        let end = {
            let writer = write_answers(queue, &mut out, &pipeline);
            tokio::pin!(writer);
            tokio::select! {
                end = connection.read() => end,
                () = &mut writer => ReadEnd::HungUp,
            }
        };
        match end {
            ReadEnd::HungUp | ReadEnd::Close => ConnectionEnd::Closed,
            ReadEnd::Chunked => connection.into_chunked(out),
        }
    }

    fn into_chunked(self, out: OwnedWriteHalf) -> ConnectionEnd {
        match self.io.reunite(out) {
            Ok(io) => ConnectionEnd::Chunked(io, self.buf),
            Err(err) => {
                log::error!("halves of a connection do not fit reason={:?}", err.to_string());
                ConnectionEnd::Closed
            }
        }
    }

    /// Takes requests until there are no more. All that were taken have been answered then, unless
    /// the caller has hung up.
    async fn read(&mut self) -> ReadEnd {
        let shared = Arc::clone(&self.shared);
        let stopped = shared.until_stopped();
        tokio::pin!(stopped);
        let mut is_stopped = false;
        loop {
            while self.tasks.try_join_next().is_some() {}
            if let Some(end) = self.take_requests().await {
                return self.until_answered(end).await;
            }
            let is_idle = self.pipeline.open() == 0;
            if is_idle && (self.pipeline.is_closing() || (is_stopped && self.buf.is_empty())) {
                return ReadEnd::Close;
            }
            let limit = self.waiting_since + self.wait_limit();
            tokio::select! {
                read = self.io.read_buf(&mut self.buf), if self.buf.len() < MAX_AHEAD_BYTES => {
                    match read {
                        Ok(0) | Err(_) => return ReadEnd::HungUp,
                        // The first bytes of a head.
                        Ok(len) if len == self.buf.len() => self.waiting_since = Instant::now(),
                        Ok(_) => {}
                    }
                }
                () = self.pipeline.next_answered() => self.waiting_since = Instant::now(),
                () = sleep_until(limit), if is_idle => {
                    if !self.buf.is_empty() {
                        log::debug!("connection of a caller closed reason=\"slow head\"");
                    }
                    return ReadEnd::Close;
                }
                () = &mut stopped, if !is_stopped => is_stopped = true,
            }
        }
    }

    /// Time for which the connection may be idle, or the head of a request incomplete.
    fn wait_limit(&self) -> Duration {
        let limits = self.shared.client_limits();
        let limit = if self.buf.is_empty() { limits.idle_timeout } else { limits.header_timeout };
        limit + LIMIT_MARGIN
    }

    /// Takes the requests that have come whole so far. Returns an end if there can be no more.
    async fn take_requests(&mut self) -> Option<ReadEnd> {
        while !self.pipeline.is_closing() && self.pipeline.open() < MAX_PIPELINED as u64 {
            match RequestFrame::of(&self.buf) {
                RequestFrame::Partial if self.buf.len() < max_buf_bytes(&self.shared) => {
                    return None;
                }
                RequestFrame::Whole { body: BodyFrame::Chunked, .. } => {
                    return Some(ReadEnd::Chunked);
                }
                RequestFrame::Whole { head_len, body: BodyFrame::Length(len) } => {
                    if !self.take_request(head_len, len).await {
                        return Some(ReadEnd::HungUp);
                    }
                }
                RequestFrame::Ambiguous => {
                    let _ = self.pipeline.take();
                    self.push(PipelinedAnswer::ambiguous()).await;
                    return Some(ReadEnd::Close);
                }
                // The server says what is wrong with it.
                RequestFrame::Broken | RequestFrame::Partial => {
                    self.pipeline.close();
                    self.take_request(self.buf.len(), 0).await;
                    return Some(ReadEnd::Close);
                }
            }
        }
        None
    }

    /// Takes a request and passes its body on. Returns whether the caller is still there.
    async fn take_request(&mut self, head_len: usize, body_len: u64) -> bool {
        if body_len > self.shared.client_limits().max_body_bytes as u64 {
            // The body is refused unread.
            self.pipeline.close();
        }
        let head = self.buf.split_to(head_len);
        let turn = self.pipeline.take();
        let started = PipelinedAnswer::start(&self.shared, &head, turn, &mut self.tasks).await;
        let (answer, request) = started;
        self.push(answer).await;
        let is_there = self.pipeline.is_closing() || self.pass_body(body_len, request).await;
        self.waiting_since = Instant::now();
        is_there
    }

    async fn push(&self, answer: PipelinedAnswer) {
        // The queue has room for all that may be open; without its reader the connection ends.
        let _ = self.answers.send(answer).await;
    }

    /// Passes a body on. What the server does not want is read and dropped.
    async fn pass_body(&mut self, mut left: u64, mut request: WriteHalf<DuplexStream>) -> bool {
        let mut is_wanted = true;
        while left > 0 {
            if self.buf.is_empty() {
                let limit = self.shared.client_limits().idle_timeout + LIMIT_MARGIN;
                let read = timeout(limit, self.io.read_buf(&mut self.buf)).await;
                if !read.is_ok_and(|it| it.is_ok_and(|it| it > 0)) {
                    return false;
                }
            }
            let len = self.buf.len().min(usize::try_from(left).unwrap_or(usize::MAX));
            is_wanted = is_wanted && request.write_all(&self.buf[..len]).await.is_ok();
            self.buf.advance(len);
            left -= len as u64;
        }
        if let Err(err) = request.shutdown().await {
            log::debug!("request not taken whole reason={:?}", err.to_string());
        }
        true
    }

    /// Waits until all requests have been answered, unless the caller hangs up first.
    async fn until_answered(&mut self, end: ReadEnd) -> ReadEnd {
        while self.pipeline.open() > 0 {
            tokio::select! {
                read = self.io.read_buf(&mut self.buf), if self.buf.len() < MAX_AHEAD_BYTES => {
                    if !read.is_ok_and(|it| it > 0) {
                        return ReadEnd::HungUp;
                    }
                }
                () = self.pipeline.next_answered() => {}
            }
        }
        end
    }
}

/// Writes answers in their order until one closes the connection.
async fn write_answers(
    mut queue: mpsc::Receiver<PipelinedAnswer>,
    out: &mut OwnedWriteHalf,
    pipeline: &Pipeline,
) {
    while let Some(answer) = queue.recv().await {
        match answer.write_to(out).await {
            Ok(true) => pipeline.note_answered(),
            Ok(false) => return,
            Err(err) => {
                log::debug!("answer not written reason={:?}", err.to_string());
                return;
            }
        }
        if pipeline.is_closing() && pipeline.open() == 0 {
            let _ = out.shutdown().await;
            return;
        }
    }
}
