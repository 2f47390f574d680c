use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use h2::PingPong;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::unusable::Unusable;
use super::watched_io::WatchedIo;

/// Silence on a connection with work after which it is pinged.
const PING_AFTER: Duration = Duration::from_millis(300);
/// Longest wait for the answer to a ping.
const PONG_TIMEOUT: Duration = Duration::from_millis(700);
/// Time without work and signs of life after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Stands for a connection on which no stream waits.
const NOT_WAITING: u64 = u64::MAX;
/// Shortest time between two checks of a connection for silence.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// When a connection last carried something from its peer, and how much work waits on it.
#[derive(Debug, Clone)]
pub(super) struct Liveness {
    state: Arc<State>,
}

#[derive(Debug)]
pub(super) struct State {
    start: Instant,
    last_read_ms: AtomicU64,
    /// Since when a stream has waited for a sign of life; [`NOT_WAITING`] if none does.
    waiting_since_ms: AtomicU64,
    streams: AtomicUsize,
    /// Told when a stream is opened.
    opened: Notify,
}

/// Counts one stream of a connection as long as it lives.
#[derive(Debug)]
pub(super) struct StreamGuard {
    state: Arc<State>,
}

impl Liveness {
    pub(super) fn new() -> Liveness {
        let state = State {
            start: Instant::now(),
            last_read_ms: AtomicU64::new(0),
            waiting_since_ms: AtomicU64::new(NOT_WAITING),
            streams: AtomicUsize::new(0),
            opened: Notify::new(),
        };
        Liveness { state: Arc::new(state) }
    }

    /// Counts a stream. The clock of silence starts unless it runs already; only a sign of life
    /// stops it, not the end of the stream.
    pub(super) fn open_stream(&self) -> StreamGuard {
        self.state.streams.fetch_add(1, Ordering::Relaxed);
        self.state.start_waiting();
        self.state.opened.notify_one();
        StreamGuard { state: Arc::clone(&self.state) }
    }

    /// Wraps a socket so that bytes from the peer count as a sign of life.
    pub(super) fn watch(&self, io: TcpStream) -> WatchedIo {
        WatchedIo::new(io, Arc::clone(&self.state))
    }

    /// Resolves once the connection has work but no sign of life and no answer to a ping, or once
    /// it has had no work for long.
    pub(super) async fn until_unusable(&self, mut pings: PingPong) -> Unusable {
        loop {
            self.state.until_check().await;
            if self.state.has_streams() {
                self.state.start_waiting();
            }
            match self.state.waiting() {
                Some(waiting) if waiting >= PING_AFTER => {}
                Some(_) => continue,
                None if self.state.since_read() > IDLE_TIMEOUT => return Unusable::Idle,
                None => continue,
            }
            let pong = pings.ping(h2::Ping::opaque());
            match tokio::time::timeout(PONG_TIMEOUT, pong).await {
                Ok(Ok(_)) => self.state.note_sign(),
                Ok(Err(_)) | Err(_) => return Unusable::Silent,
            }
        }
    }
}

impl State {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Sleeps until the connection may have been silent for too long. Without work that is when a
    /// stream is opened or the connection has been idle for too long.
    async fn until_check(&self) {
        if let Some(waiting) = self.waiting() {
            let left = PING_AFTER.saturating_sub(waiting).max(MIN_CHECK_INTERVAL);
            return tokio::time::sleep(left).await;
        }
        let left = IDLE_TIMEOUT.saturating_sub(self.since_read()).max(MIN_CHECK_INTERVAL);
        tokio::select! {
            () = self.opened.notified() => {}
            () = tokio::time::sleep(left) => {}
        }
    }

    fn has_streams(&self) -> bool {
        self.streams.load(Ordering::Relaxed) > 0
    }

    fn start_waiting(&self) {
        let now = self.now_ms();
        let order = Ordering::Relaxed;
        let _ = self.waiting_since_ms.compare_exchange(NOT_WAITING, now, order, order);
    }

    pub(super) fn note_sign(&self) {
        let now = self.now_ms();
        self.last_read_ms.store(now, Ordering::Relaxed);
        let waiting_since = if self.has_streams() { now } else { NOT_WAITING };
        self.waiting_since_ms.store(waiting_since, Ordering::Relaxed);
    }

    fn waiting(&self) -> Option<Duration> {
        let since = self.waiting_since_ms.load(Ordering::Relaxed);
        (since != NOT_WAITING).then(|| Duration::from_millis(self.now_ms().saturating_sub(since)))
    }

    fn since_read(&self) -> Duration {
        let last_read = self.last_read_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(last_read))
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.state.streams.fetch_sub(1, Ordering::Relaxed);
    }
}
