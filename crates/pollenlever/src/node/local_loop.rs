use std::collections::HashMap;

use pollenlever_core::id::{ExchangeId, StreamId};

/// Exchanges of this node with itself, which need no connection.
///
/// ```
/// use pollenlever::node::LocalLoop;
/// let mut local = LocalLoop::default();
/// local.open(7, 1);
/// assert_eq!(local.cancel(7), Some(1));
/// assert_eq!(local.reply(1), None);
/// ```
#[derive(Debug, Default)]
pub struct LocalLoop {
    streams: HashMap<ExchangeId, StreamId>,
    exchanges: HashMap<StreamId, ExchangeId>,
}

impl LocalLoop {
    /// Notes that `stream` carries the request of `exchange`.
    pub fn open(&mut self, exchange: ExchangeId, stream: StreamId) {
        self.streams.insert(exchange, stream);
        self.exchanges.insert(stream, exchange);
    }

    /// Ends a stream by its reply. Returns the exchange that it belongs to.
    pub fn reply(&mut self, stream: StreamId) -> Option<ExchangeId> {
        let exchange = self.exchanges.remove(&stream)?;
        self.streams.remove(&exchange);
        Some(exchange)
    }

    /// Ends an exchange that was given up. Returns the stream that carries its request.
    pub fn cancel(&mut self, exchange: ExchangeId) -> Option<StreamId> {
        let stream = self.streams.remove(&exchange)?;
        self.exchanges.remove(&stream);
        Some(stream)
    }
}
