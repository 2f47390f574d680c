use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use rocket::tokio::io::{AsyncRead, AsyncSeek, ReadBuf};

/// A body that fails before its first byte, so that the connection closes before the answer is
/// complete.
#[derive(Debug)]
pub(crate) struct LostAnswer;

impl LostAnswer {
    /// Content length that the answer's header announces.
    pub(crate) const CLAIMED_BYTES: usize = 16;
}

impl AsyncRead for LostAnswer {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        _buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Err(io::Error::other("answer dropped by an injected fault")))
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
