use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tokio::sync::watch;

/// Order of the requests of one connection; clones share the state.
#[derive(Debug, Clone)]
pub(super) struct Pipeline {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    /// Number of requests received.
    received: AtomicU64,
    /// Number of answers written.
    answered: watch::Sender<u64>,
    /// Whether the connection closes after the last answer.
    is_closing: AtomicBool,
}

/// Position of a request among those of its connection.
#[derive(Debug, Clone)]
pub(super) struct PipelinePosition {
    index: u64,
    pipeline: Pipeline,
}

impl Pipeline {
    /// Registers the next request of the connection.
    pub(super) fn add_request(&self) -> PipelinePosition {
        let index = self.state.received.fetch_add(1, Ordering::Relaxed);
        PipelinePosition { index, pipeline: self.clone() }
    }

    /// Number of requests whose answers have not been written.
    pub(super) fn unanswered_count(&self) -> u64 {
        self.state.received.load(Ordering::Relaxed) - *self.state.answered.borrow()
    }

    /// Records that the next answer has been written.
    pub(super) fn record_answered(&self) {
        self.state.answered.send_modify(|it| *it += 1);
    }

    /// Resolves once another answer has been written.
    pub(super) async fn wait_for_next_answer(&self) {
        let mut answered = self.state.answered.subscribe();
        // The sender lives as long as this pipeline, so waiting cannot fail.
        let _ = answered.changed().await;
    }

    /// Accepts no more requests: the connection closes after the last answer.
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
            State { received: AtomicU64::new(0), answered, is_closing: AtomicBool::new(false) };
        Pipeline { state: Arc::new(state) }
    }
}

impl PipelinePosition {
    /// Whether no request has been received after this one.
    pub(super) fn is_last(&self) -> bool {
        self.index + 1 == self.pipeline.state.received.load(Ordering::Relaxed)
    }

    /// Order of the connection's requests.
    pub(super) fn pipeline(&self) -> &Pipeline {
        &self.pipeline
    }

    /// Resolves once the answers to all earlier requests have been written. If one of them closes
    /// the connection, the caller may assume that its later requests were not read.
    pub(super) async fn wait_for_earlier_answers(&self) {
        let mut answered = self.pipeline.state.answered.subscribe();
        // The sender lives as long as the pipeline, so waiting cannot fail.
        let _ = answered.wait_for(|it| *it >= self.index).await;
    }
}
