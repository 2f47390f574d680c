use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use super::{LinkState, Links, Location};

/// Maximum number of delayed chunks in flight for each connection and direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;
/// Buffer size for one read from a connection.
const MAX_CHUNK_BYTES: usize = 64 << 10;
/// Interval at which a connection checks whether its link was cut.
const STATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Forwards the data of one direction of a relayed connection.
pub(super) struct Forwarder {
    pub(super) links: Links,
    pub(super) from: Location,
    pub(super) to: Location,
    /// When the connection was opened; decides the effect of
    /// [`LinkState::SilentForOpenConnections`].
    pub(super) opened: std::time::Instant,
}

impl Forwarder {
    /// Forwards data with the link's delay until the sender closes, an end fails or the link is
    /// cut.
    pub(super) async fn run(self, rx: OwnedReadHalf, tx: OwnedWriteHalf) -> io::Result<()> {
        let (chunk_tx, chunk_rx) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        tokio::select! {
            result = self.read(rx, chunk_tx) => result,
            result = write(chunk_rx, tx) => result,
            () = self.wait_until_cut() => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    async fn read(
        &self,
        mut rx: OwnedReadHalf,
        chunks: mpsc::Sender<(Instant, BytesMut)>,
    ) -> io::Result<()> {
        loop {
            let mut buf = BytesMut::with_capacity(MAX_CHUNK_BYTES);
            if rx.read_buf(&mut buf).await? == 0 {
                break;
            }
            let link = self.links.link(self.from, self.to, self.opened);
            if link.state == LinkState::Up {
                self.links.record_bytes(self.from, self.to, buf.len());
                let sent = chunks.send((Instant::now() + link.delay, buf)).await;
                if sent.is_err() {
                    break;
                }
            }
        }
        drop(chunks);
        std::future::pending().await // `write` closes the connection after the last chunk
    }

    async fn wait_until_cut(&self) {
        while self.links.link(self.from, self.to, self.opened).state != LinkState::Cut {
            sleep(STATE_CHECK_INTERVAL).await;
        }
    }
}

async fn write(
    mut chunks: mpsc::Receiver<(Instant, BytesMut)>,
    mut tx: OwnedWriteHalf,
) -> io::Result<()> {
    while let Some((due, chunk)) = chunks.recv().await {
        sleep_until(due).await;
        tx.write_all(&chunk).await?;
    }
    tx.shutdown().await
}
