use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Connection of a client on which the other side may answer, and close, before it has read all of a request.
///
/// Once the other side takes no more bytes, writing goes on into nothing, and reading alone decides how the
/// exchange ends: with the answer that came, or with the end of the connection. An HTTP client that saw the
/// failed write first would drop that answer.
///
/// The system reports a reset once, to whoever asks first, and an end of the connection from then on. A reset
/// that writing has met is therefore kept for reading: an answer without a length ends with the connection only
/// if the other side has ended it itself.
#[derive(Debug)]
pub(crate) struct EarlyAnswerIo<T> {
    io: T,
    takes_nothing: TakesNothing,
    /// Whether writing has met a reset.
    is_reset: bool,
}

/// Whether the other side of an [`EarlyAnswerIo`] takes no more bytes.
#[derive(Debug, Clone, Default)]
pub(crate) struct TakesNothing(Arc<AtomicBool>);

impl TakesNothing {
    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

impl<T> EarlyAnswerIo<T> {
    pub(crate) fn new(io: T) -> (EarlyAnswerIo<T>, TakesNothing) {
        let takes_nothing = TakesNothing::default();
        (EarlyAnswerIo { io, takes_nothing: takes_nothing.clone(), is_reset: false }, takes_nothing)
    }

    /// What writing `len` bytes comes to if the socket says `written`.
    fn outcome(&mut self, written: io::Result<usize>, len: usize) -> io::Result<usize> {
        match written {
            Err(err) if is_closed_by_other_side(&err) => {
                self.takes_nothing.set();
                // A broken pipe is met behind an end of the other side's own.
                self.is_reset |= err.kind() != io::ErrorKind::BrokenPipe;
                Ok(len)
            }
            written => written,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for EarlyAnswerIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_room) = (buf.filled().len(), buf.remaining() > 0);
        ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        if self.is_reset && has_room && buf.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for EarlyAnswerIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.takes_nothing.get() {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.io).poll_write(cx, buf).map(|it| self.outcome(it, buf.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|it| it.len()).sum();
        if self.takes_nothing.get() {
            return Poll::Ready(Ok(len));
        }
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs).map(|it| self.outcome(it, len))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

fn is_closed_by_other_side(err: &io::Error) -> bool {
    matches!(
        err.kind(),
        io::ErrorKind::BrokenPipe
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
    )
}
