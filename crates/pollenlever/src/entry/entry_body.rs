use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Body of an answer, which a task passes on in parts, as fast as the caller takes them.
#[derive(Debug)]
pub(super) struct EntryBody {
    parts: mpsc::Receiver<Bytes>,
    /// Bytes left; `None` if the length is not known.
    left: Option<u64>,
    _task: AbortOnDrop,
}

/// A task that ends when this is dropped.
#[derive(Debug)]
pub(super) struct AbortOnDrop(pub(super) JoinHandle<()>);

impl EntryBody {
    pub(super) fn new(
        parts: mpsc::Receiver<Bytes>,
        len: Option<u64>,
        task: AbortOnDrop,
    ) -> EntryBody {
        EntryBody { parts, left: len, _task: task }
    }
}

impl Body for EntryBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.parts.poll_recv(cx).map(|part| {
            let part = part?;
            if let Some(left) = &mut self.left {
                *left = left.saturating_sub(part.len() as u64);
            }
            Some(Ok(Frame::data(part)))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
