use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

/// A body that fails before its first byte, so that the connection ends without a whole answer.
#[derive(Debug)]
pub(crate) struct LostAnswer;

impl LostAnswer {
    /// Length that the answer's head claims.
    pub(crate) const CLAIMED_BYTES: usize = 16;
}

impl AsyncRead for LostAnswer {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Err(io::Error::other("answer lost on demand")))
    }
}

impl AsyncSeek for LostAnswer {
    fn start_seek(self: Pin<&mut Self>, _position: io::SeekFrom) -> io::Result<()> {
        Ok(())
    }

    fn poll_complete(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<u64>> {
        Poll::Ready(Ok(0))
    }
}
