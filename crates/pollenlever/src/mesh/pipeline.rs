use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

/// Order of the requests of one connection, and where it ends; clones share the state.
///
/// An answer that closes the connection tells the caller that the requests behind it were not read, and
/// that they may be sent again. So the connection takes no request behind the one that closes it.
#[derive(Debug, Clone)]
pub(super) struct Pipeline {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Number of answers written.
    answered: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of requests received.
    received: u64,
    /// Index of the request whose answer closes the connection.
    closing: Option<u64>,
    /// Whether the answer to the request received last is known not to close the connection.
    keeps_open_after_last: bool,
}

/// Position of a request among those of its connection.
#[derive(Debug, Clone)]
pub(super) struct PipelinePosition {
    index: u64,
    pipeline: Pipeline,
}

impl Pipeline {
    /// Registers the next request of the connection; `None` if an earlier one closes it.
    pub(super) fn add_request(&self) -> Option<PipelinePosition> {
        let mut state = self.lock();
        if state.closing.is_some() {
            return None;
        }
        let index = state.received;
        state.received += 1;
        state.keeps_open_after_last = false;
        Some(PipelinePosition { index, pipeline: self.clone() })
    }

    /// Registers the next request and makes its answer close the connection; `None` if an earlier one does.
    pub(super) fn add_last_request(&self) -> Option<PipelinePosition> {
        let position = self.add_request()?;
        position.close();
        Some(position)
    }

    /// Makes the answer to the request received last close the connection, unless that answer has begun
    /// or there is no request yet.
    pub(super) fn close_after_last(&self) {
        let mut state = self.lock();
        if state.closing.is_none() && !state.keeps_open_after_last {
            state.closing = state.received.checked_sub(1);
        }
    }

    /// Number of requests whose answers have not been written.
    pub(super) fn unanswered_count(&self) -> u64 {
        self.lock().received - *self.shared.answered.borrow()
    }

    /// Records that the next answer has been written.
    pub(super) fn record_answered(&self) {
        self.shared.answered.send_modify(|it| *it += 1);
    }

    /// Resolves once another answer has been written.
    pub(super) async fn wait_for_next_answer(&self) {
        let mut answered = self.shared.answered.subscribe();
        // The sender lives as long as this pipeline, so waiting cannot fail.
        let _ = answered.changed().await;
    }

    /// Whether the connection takes no further requests.
    pub(super) fn is_closing(&self) -> bool {
        self.lock().closing.is_some()
    }

    /// Whether the answer that closes the connection has been written.
    pub(super) fn has_ended(&self) -> bool {
        self.lock().closing.is_some_and(|it| *self.shared.answered.borrow() > it)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Pipeline {
    fn default() -> Pipeline {
        let shared = Shared { state: Mutex::default(), answered: watch::channel(0).0 };
        Pipeline { shared: Arc::new(shared) }
    }
}

impl PipelinePosition {
    /// Position of a request that is the only one of its connection at present.
    pub(super) fn alone() -> PipelinePosition {
        PipelinePosition { index: 0, pipeline: Pipeline::default() }
    }

    /// Makes the answer to this request close the connection, unless an earlier one does.
    pub(super) fn close(&self) {
        let mut state = self.pipeline.lock();
        state.closing = Some(state.closing.map_or(self.index, |it| it.min(self.index)));
    }

    /// Decides, when the answer to this request begins, whether it closes the connection. With
    /// `is_leaving` it does if no further request has been received.
    pub(super) fn begin_answer(&self, is_leaving: bool) -> bool {
        let mut state = self.pipeline.lock();
        let is_last = self.index + 1 >= state.received;
        if state.closing.is_none() && is_last {
            state.closing = is_leaving.then_some(self.index);
            state.keeps_open_after_last = !is_leaving;
        }
        state.closing == Some(self.index)
    }

    /// Resolves once the answers to all earlier requests have been written. Returns `false` if one of
    /// them closes the connection: the caller may assume that this request was not read.
    pub(super) async fn wait_for_earlier_answers(&self) -> bool {
        let mut answered = self.pipeline.shared.answered.subscribe();
        // The sender lives as long as the pipeline, so waiting cannot fail.
        let _ = answered.wait_for(|it| *it >= self.index).await;
        self.pipeline.lock().closing.is_none_or(|it| it >= self.index)
    }
}
