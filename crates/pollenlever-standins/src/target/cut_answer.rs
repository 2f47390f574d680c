use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};

/// An answer that breaks off half way.
#[derive(Debug)]
pub(super) struct CutAnswer {
    rest: Vec<u8>,
}

impl CutAnswer {
    pub(super) fn new(text: &str) -> CutAnswer {
        CutAnswer { rest: text.as_bytes()[..text.len() / 2].to_vec() }
    }
}

impl AsyncRead for CutAnswer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.rest.is_empty() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let len = self.rest.len().min(buf.remaining());
        buf.put_slice(&self.rest[..len]);
        self.rest.drain(..len);
        Poll::Ready(Ok(()))
    }
}
