use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::watch;

/// Order of the requests of one connection; clones share it.
#[derive(Debug, Clone)]
pub(super) struct Pipeline {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    /// Requests that were taken.
    taken: AtomicU64,
    /// Requests whose answers have been written.
    answered: watch::Sender<u64>,
    /// Whether an answer said that the connection closes after it.
    is_closing: AtomicBool,
}

/// Place of a request among those of its connection.
#[derive(Debug, Clone)]
pub(super) struct Turn {
    index: u64,
    pipeline: Pipeline,
}

impl Pipeline {
    /// Takes a request.
    pub(super) fn take(&self) -> Turn {
        let index = self.state.taken.fetch_add(1, Ordering::Relaxed);
        Turn { index, pipeline: self.clone() }
    }

    /// Requests whose answers have not been written.
    pub(super) fn open(&self) -> u64 {
        self.state.taken.load(Ordering::Relaxed) - *self.state.answered.borrow()
    }

    /// Notes that the next answer has been written.
    pub(super) fn note_answered(&self) {
        self.state.answered.send_modify(|it| *it += 1);
    }

    /// Resolves once another answer has been written.
    pub(super) async fn next_answered(&self) {
        let mut answered = self.state.answered.subscribe();
        // The sender lives as long as this pipeline, so the wait cannot fail.
        let _ = answered.changed().await;
    }

    /// Takes no more requests: the connection closes after the last answer.
    pub(super) fn close(&self) {
        self.state.is_closing.store(true, Ordering::Relaxed);
    }

    /// Whether the connection closes after the last answer.
    pub(super) fn is_closing(&self) -> bool {
        self.state.is_closing.load(Ordering::Relaxed)
    }
}

impl Default for Pipeline {
    fn default() -> Pipeline {
        let answered = watch::channel(0).0;
        let state =
            State { taken: AtomicU64::new(0), answered, is_closing: AtomicBool::new(false) };
        Pipeline { state: Arc::new(state) }
    }
}

impl Turn {
    /// Whether no request has come behind this one.
    pub(super) fn is_last(&self) -> bool {
        self.index + 1 == self.pipeline.state.taken.load(Ordering::Relaxed)
    }

    /// The order of the connection.
    pub(super) fn pipeline(&self) -> &Pipeline {
        &self.pipeline
    }

    /// Resolves once all requests before this one have been answered. A caller may take what it
    /// sent behind a closing answer for not read.
    pub(super) async fn until_first(&self) {
        let mut answered = self.pipeline.state.answered.subscribe();
        // The sender lives as long as the pipeline, so the wait cannot fail.
        let _ = answered.wait_for(|it| *it >= self.index).await;
    }
}
