use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::unsent_bytes;
use crate::bounds::ConnectionSlot;

/// Most bytes buffered that the server has not read yet.
pub(crate) const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Largest number of bytes taken by one read.
const READ_BYTES: usize = 4 << 10;

/// Socket of a caller that notices a hang-up even while requests on the connection are unread.
///
/// The HTTP server does not read while it answers; this reads ahead of it, up to
/// [`MAX_READ_AHEAD_BYTES`]. A failure that it meets there is kept for the server, which would take it for an
/// end of the connection otherwise.
#[derive(Debug, Clone)]
pub(crate) struct HangupIo {
    state: Arc<Mutex<State>>,
}

/// How reading from a connection ended.
#[derive(Debug, Clone, Copy)]
enum ReadEnd {
    /// The other side has ended it in order.
    Closed,
    /// Reading failed, such as after a reset. The system says so once.
    Failed(io::ErrorKind),
}

#[derive(Debug)]
struct State {
    io: TcpStream,
    read_ahead: BytesMut,
    /// How the caller has ended the connection; `None` while it is open.
    end: Option<ReadEnd>,
    last_read: Instant,
    slot: Arc<ConnectionSlot>,
}

impl HangupIo {
    /// Wraps the socket of the connection of `slot`; `read_ahead` holds the bytes already read from it.
    pub(crate) fn new(io: TcpStream, read_ahead: BytesMut, slot: Arc<ConnectionSlot>) -> HangupIo {
        let state = State { io, read_ahead, end: None, last_read: Instant::now(), slot };
        HangupIo { state: Arc::new(Mutex::new(state)) }
    }

    /// Ready once the caller has closed the connection. Pending while the read-ahead buffer is
    /// full.
    pub(super) fn poll_hangup(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        while state.end.is_none() {
            if state.read_ahead.len() >= MAX_READ_AHEAD_BYTES {
                return Poll::Pending;
            }
            if state.poll_fill(cx).is_pending() {
                return Poll::Pending;
            }
        }
        Poll::Ready(())
    }

    /// Ready once the caller has closed the connection; drops what it sends until then.
    pub(super) fn poll_drained(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        while state.end.is_none() {
            state.read_ahead.clear();
            if state.poll_fill(cx).is_pending() {
                return Poll::Pending;
            }
        }
        Poll::Ready(())
    }

    /// Bytes written that the caller's system has not taken yet, if that is known.
    pub(super) fn unsent_bytes(&self) -> Option<usize> {
        unsent_bytes(&self.lock().io)
    }

    /// When bytes last arrived from the caller.
    pub(super) fn last_read(&self) -> Instant {
        self.lock().last_read
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Reads once into the buffer and records the end of the connection.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; READ_BYTES];
        let mut buf = ReadBuf::new(&mut bytes);
        match Pin::new(&mut self.io).poll_read(cx, &mut buf) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                self.last_read = Instant::now();
                self.read_ahead.extend_from_slice(buf.filled());
            }
            Poll::Ready(Ok(())) => self.end = Some(ReadEnd::Closed),
            Poll::Ready(Err(err)) => self.end = Some(ReadEnd::Failed(err.kind())),
        }
        Poll::Ready(())
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        self.slot.set_sending(written.is_pending());
        if let Poll::Ready(Ok(len)) = written {
            self.slot.record_progress(*len);
        }
    }
}

impl AsyncRead for HangupIo {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.lock();
        if state.read_ahead.is_empty() && state.end.is_none() && state.poll_fill(cx).is_pending() {
            return Poll::Pending;
        }
        if let (true, Some(ReadEnd::Failed(kind))) = (state.read_ahead.is_empty(), state.end) {
            return Poll::Ready(Err(kind.into()));
        }
        let len = state.read_ahead.len().min(buf.remaining());
        buf.put_slice(&state.read_ahead[..len]);
        state.read_ahead.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HangupIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        let written = Pin::new(&mut state.io).poll_write(cx, buf);
        state.record_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        let written = Pin::new(&mut state.io).poll_write_vectored(cx, bufs);
        state.record_write(&written);
        written
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
