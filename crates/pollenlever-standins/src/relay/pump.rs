use std::io;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use super::{LinkState, Links, Place};

/// Chunks on the way at once, for each connection and direction.
const CHUNKS_ON_THE_WAY: usize = 256;
/// Longest chunk in bytes.
const CHUNK_LEN: usize = 64 << 10;
/// Time between two looks at the state of an idle link.
const STATE_CHECK: Duration = Duration::from_millis(50);

/// One direction of a relayed connection.
pub(super) struct Pump {
    pub(super) links: Links,
    pub(super) from: Place,
    pub(super) to: Place,
    /// When the connection was opened.
    pub(super) opened: std::time::Instant,
}

impl Pump {
    /// Passes data on with the link's delay until either end closes or the link is cut.
    pub(super) async fn run(self, rx: OwnedReadHalf, tx: OwnedWriteHalf) -> io::Result<()> {
        let (chunk_tx, chunk_rx) = mpsc::channel(CHUNKS_ON_THE_WAY);
        tokio::select! {
            result = self.read(rx, chunk_tx) => result,
            result = write(chunk_rx, tx) => result,
            () = self.until_cut() => Err(io::ErrorKind::ConnectionReset.into()),
        }
    }

    async fn read(
        &self,
        mut rx: OwnedReadHalf,
        chunks: mpsc::Sender<(Instant, BytesMut)>,
    ) -> io::Result<()> {
        loop {
            let mut buf = BytesMut::with_capacity(CHUNK_LEN);
            if rx.read_buf(&mut buf).await? == 0 {
                break;
            }
            let link = self.links.between(self.from, self.to, self.opened);
            if link.state == LinkState::Up {
                self.links.count(self.from, self.to, buf.len());
                let sent = chunks.send((Instant::now() + link.delay, buf)).await;
                if sent.is_err() {
                    break;
                }
            }
        }
        drop(chunks);
        std::future::pending().await // the writer ends the connection after the last chunk
    }

    async fn until_cut(&self) {
        while self.links.between(self.from, self.to, self.opened).state != LinkState::Cut {
            sleep(STATE_CHECK).await;
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
