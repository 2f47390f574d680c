use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read ahead of the server at most.
const MAX_AHEAD_BYTES: usize = 64 << 10;
/// Bytes that one read asks for.
const READ_BYTES: usize = 4 << 10;

/// Socket of a caller that notices a hang-up also while requests of the connection wait unread.
///
/// The server stops reading while it answers; this reads on ahead of it, up to a limit.
#[derive(Debug, Clone)]
pub(super) struct HangupIo {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    io: TcpStream,
    ahead: BytesMut,
    has_ended: bool,
    last_read: Instant,
}

impl HangupIo {
    /// Wraps a socket from which `ahead` has been read already.
    pub(super) fn new(io: TcpStream, ahead: BytesMut) -> HangupIo {
        let state = State { io, ahead, has_ended: false, last_read: Instant::now() };
        HangupIo { state: Arc::new(Mutex::new(state)) }
    }

    /// Ready once the caller has closed the connection.
    pub(super) fn poll_hangup(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        while !state.has_ended {
            if state.ahead.len() >= MAX_AHEAD_BYTES {
                return Poll::Pending;
            }
            if state.poll_fill(cx).is_pending() {
                return Poll::Pending;
            }
        }
        Poll::Ready(())
    }

    /// Time of the last bytes from the caller.
    pub(super) fn last_read(&self) -> Instant {
        self.lock().last_read
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Reads once into the buffer and notes the end of the connection.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        match Pin::new(&mut self.io).poll_read(cx, &mut buf) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                self.last_read = Instant::now();
                self.ahead.extend_from_slice(buf.filled());
            }
            Poll::Ready(_) => self.has_ended = true,
        }
        Poll::Ready(())
    }
}

impl AsyncRead for HangupIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.lock();
        if state.ahead.is_empty() && !state.has_ended && state.poll_fill(cx).is_pending() {
            return Poll::Pending;
        }
        let len = state.ahead.len().min(buf.remaining());
        buf.put_slice(&state.ahead[..len]);
        state.ahead.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HangupIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().io).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.lock().io).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().io.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.lock().io).poll_shutdown(cx)
    }
}
