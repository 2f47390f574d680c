use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use h2::PingPong;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Silence on a connection with work after which it is pinged.
const PING_AFTER: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a ping.
const PONG_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which connections are checked for silence.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// When a connection last carried something from its peer, and how much work waits on it.
#[derive(Debug, Clone)]
pub(super) struct Liveness {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    start: Instant,
    last_sign_ms: AtomicU64,
    streams: AtomicUsize,
}

/// Counts one stream of a connection as long as it lives.
#[derive(Debug)]
pub(super) struct StreamGuard {
    state: Arc<State>,
}

impl Liveness {
    pub(super) fn new() -> Liveness {
        let last_sign_ms = AtomicU64::new(0);
        let streams = AtomicUsize::new(0);
        Liveness { state: Arc::new(State { start: Instant::now(), last_sign_ms, streams }) }
    }

    /// Counts a stream; the clock of silence starts with the first.
    pub(super) fn open_stream(&self) -> StreamGuard {
        if self.state.streams.fetch_add(1, Ordering::Relaxed) == 0 {
            self.state.touch();
        }
        StreamGuard { state: Arc::clone(&self.state) }
    }

    /// Wraps a socket so that bytes from the peer count as a sign of life.
    pub(super) fn watch(&self, io: TcpStream) -> WatchedIo {
        WatchedIo { io, state: Arc::clone(&self.state) }
    }

    /// Resolves once the connection has work but no sign of life and no answer to a ping.
    pub(super) async fn silence(&self, mut pings: PingPong) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.state.streams.load(Ordering::Relaxed) == 0 {
                continue;
            }
            if self.state.since_sign() < PING_AFTER {
                continue;
            }
            let pong = pings.ping(h2::Ping::opaque());
            match tokio::time::timeout(PONG_TIMEOUT, pong).await {
                Ok(Ok(_)) => self.state.touch(),
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }
}

impl State {
    fn touch(&self) {
        self.last_sign_ms.store(self.start.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    fn since_sign(&self) -> Duration {
        let last_sign = Duration::from_millis(self.last_sign_ms.load(Ordering::Relaxed));
        self.start.elapsed().saturating_sub(last_sign)
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.state.streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Socket of a watched connection.
#[derive(Debug)]
pub(super) struct WatchedIo {
    io: TcpStream,
    state: Arc<State>,
}

impl AsyncRead for WatchedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let res = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.state.touch();
        }
        res
    }
}

impl AsyncWrite for WatchedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
