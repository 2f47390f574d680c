use std::collections::HashMap;

use pollenlever_core::id::{ExchangeId, StreamId};

/// Open exchanges of this node with itself, which need no connection: maps each exchange to the
/// stream under which its request is handled, and back.
///
/// ```
/// use pollenlever::node::LoopbackExchanges;
/// let mut loopback = LoopbackExchanges::default();
/// loopback.open(7, 1);
/// assert_eq!(loopback.cancel(7), Some(1));
/// assert_eq!(loopback.reply(1), None);
/// ```
#[derive(Debug, Default)]
pub struct LoopbackExchanges {
    streams: HashMap<ExchangeId, StreamId>,
    exchanges: HashMap<StreamId, ExchangeId>,
}

impl LoopbackExchanges {
    /// Records that `stream` carries the request of `exchange`.
    pub fn open(&mut self, exchange: ExchangeId, stream: StreamId) {
        self.streams.insert(exchange, stream);
        self.exchanges.insert(stream, exchange);
    }

    /// Ends the exchange whose request `stream` carries and returns it. `None` if `stream` belongs
    /// to a peer or was cancelled.
    pub fn reply(&mut self, stream: StreamId) -> Option<ExchangeId> {
        let exchange = self.exchanges.remove(&stream)?;
        self.streams.remove(&exchange);
        Some(exchange)
    }

    /// Ends an exchange before its reply and returns the stream that carries its request. `None` if
    /// `exchange` is not an open loopback exchange.
    pub fn cancel(&mut self, exchange: ExchangeId) -> Option<StreamId> {
        let stream = self.streams.remove(&exchange)?;
        self.exchanges.remove(&stream);
        Some(stream)
    }
}
