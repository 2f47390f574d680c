use std::sync::Arc;

use bytes::Bytes;
use pollenlever_core::memory::{ConnectionId, MessageSize};
use tokio::sync::Notify;

use super::ConnectionLimiter;

/// An open connection in its [`ConnectionLimiter`]; dropping it removes the connection.
#[derive(Debug)]
pub struct ConnectionSlot {
    limiter: ConnectionLimiter,
    id: ConnectionId,
    close_signal: Arc<Notify>,
}

/// Bytes of a message that are held for a connection until this is dropped.
#[derive(Debug)]
pub struct MessageHold {
    slot: Arc<ConnectionSlot>,
    size: MessageSize,
    bytes: usize,
}

/// A request of a connection that is not answered until this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    slot: Arc<ConnectionSlot>,
}

impl ConnectionSlot {
    pub(super) fn new(
        limiter: ConnectionLimiter,
        id: ConnectionId,
        close_signal: Arc<Notify>,
    ) -> ConnectionSlot {
        ConnectionSlot { limiter, id, close_signal }
    }

    /// Resolves once the connection has to be closed, to make room.
    pub async fn wait_until_closed(&self) {
        self.close_signal.notified().await;
    }

    /// Records bytes that came from the other side or were taken by it.
    pub fn record_progress(&self, bytes: usize) {
        let window = self.limiter.rate_window();
        self.limiter.update(self.id, |it, now| it.record_progress(now, bytes, window));
    }

    /// Records whether the node waits for bytes of a request that has begun.
    pub fn set_receiving(&self, is_receiving: bool) {
        self.limiter.update(self.id, |it, now| it.set_receiving(now, is_receiving));
    }

    /// Records whether the node waits until the other side takes bytes of an answer.
    pub fn set_sending(&self, is_sending: bool) {
        self.limiter.update(self.id, |it, now| it.set_sending(now, is_sending));
    }

    /// Sets what the connection takes for itself, in bytes. Returns whether there is room for it.
    pub fn set_buffers(&self, bytes: usize) -> bool {
        self.limiter.set_buffers(self.id, bytes)
    }

    /// Records that a request begins.
    pub fn start_request(self: &Arc<ConnectionSlot>) -> RequestGuard {
        self.limiter.update(self.id, |it, _| it.start_request());
        RequestGuard { slot: Arc::clone(self) }
    }

    /// Records that a message of `bytes` is held for the connection.
    pub fn hold(self: &Arc<ConnectionSlot>, bytes: usize) -> MessageHold {
        let size = MessageSize::of(bytes);
        self.limiter.update(self.id, |it, _| it.hold(size, bytes));
        MessageHold { slot: Arc::clone(self), size, bytes }
    }

    /// Records that `body` is held for the connection until its last reference is dropped.
    pub fn hold_body(self: &Arc<ConnectionSlot>, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        let hold = self.hold(body.len());
        Bytes::from_owner(HeldBody { body, _hold: hold })
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.limiter.remove(self.id);
    }
}

impl MessageHold {
    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for MessageHold {
    fn drop(&mut self) {
        let (size, bytes) = (self.size, self.bytes);
        self.slot.limiter.update(self.slot.id, |it, _| it.release(size, bytes));
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.slot.limiter.update(self.slot.id, |it, now| it.end_request(now));
    }
}

/// A body with the record that it is held.
struct HeldBody {
    body: Bytes,
    _hold: MessageHold,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
