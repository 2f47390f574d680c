use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use h2::PingPong;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::close_reason::CloseReason;
use crate::net::{ObservedIo, ReadObserver};

/// Time for which a stream waits without activity of the peer before the connection is pinged.
const PING_AFTER_SILENCE: Duration = Duration::from_millis(300);
/// Timeout of a ping, after which the peer counts as silent.
const PONG_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a stream waits without activity of the peer before the connection is suspect. It
/// leaves a ping time to be answered.
const SUSPECT_AFTER_SILENCE: Duration = Duration::from_millis(500);
/// Time without open streams and activity of the peer after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Value of `waiting_since_ms` when no stream is waiting.
const NOT_WAITING: u64 = u64::MAX;
/// Shortest time between two checks of a connection.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Tracks the open streams of a connection and when its peer last sent something, to detect a
/// silent peer or an idle connection.
#[derive(Debug, Clone)]
pub(super) struct Liveness {
    state: Arc<LivenessState>,
}

#[derive(Debug)]
pub(super) struct LivenessState {
    start: Instant,
    /// When the peer last sent bytes or answered a ping, in milliseconds after `start`.
    last_activity_ms: AtomicU64,
    /// Since when a stream has waited for activity of the peer, in milliseconds after `start`;
    /// [`NOT_WAITING`] if none does.
    waiting_since_ms: AtomicU64,
    open_streams: AtomicUsize,
    /// Notified when a stream is opened.
    stream_opened: Notify,
}

/// Counts one stream of a connection as open until dropped.
#[derive(Debug)]
pub(super) struct StreamGuard {
    state: Arc<LivenessState>,
}

impl Liveness {
    pub(super) fn new() -> Liveness {
        let state = LivenessState {
            start: Instant::now(),
            last_activity_ms: AtomicU64::new(0),
            waiting_since_ms: AtomicU64::new(NOT_WAITING),
            open_streams: AtomicUsize::new(0),
            stream_opened: Notify::new(),
        };
        Liveness { state: Arc::new(state) }
    }

    /// Counts a stream as open. The waiting time starts unless it is already running; only activity
    /// of the peer resets it, not the end of the stream.
    pub(super) fn open_stream(&self) -> StreamGuard {
        self.state.open_streams.fetch_add(1, Ordering::Relaxed);
        self.state.start_waiting();
        self.state.stream_opened.notify_one();
        StreamGuard { state: Arc::clone(&self.state) }
    }

    /// Whether a stream has waited for so long without activity of the peer that data on the
    /// connection may no longer arrive.
    pub(super) fn is_suspect(&self) -> bool {
        self.state.waiting_time().is_some_and(|it| it >= SUSPECT_AFTER_SILENCE)
    }

    /// Wraps a socket so that bytes from the peer count as activity.
    pub(super) fn watch(&self, io: TcpStream) -> ObservedIo {
        ObservedIo::new(io, self.state.clone())
    }

    /// Waits until the connection should be closed: a stream waited without activity of the peer
    /// and a ping got no answer, or the connection was idle for [`IDLE_TIMEOUT`].
    pub(super) async fn wait_until_unusable(&self, mut pings: PingPong) -> CloseReason {
        loop {
            self.state.wait_for_next_check().await;
            if self.state.has_streams() {
                self.state.start_waiting();
            }
            match self.state.waiting_time() {
                Some(waiting_time) if waiting_time >= PING_AFTER_SILENCE => {}
                Some(_) => continue,
                None if self.state.time_since_activity() > IDLE_TIMEOUT => {
                    return CloseReason::Idle;
                }
                None => continue,
            }
            let pong = pings.ping(h2::Ping::opaque());
            match tokio::time::timeout(PONG_TIMEOUT, pong).await {
                Ok(Ok(_)) => self.state.record_activity(),
                Ok(Err(_)) | Err(_) => return CloseReason::Silent,
            }
        }
    }
}

impl LivenessState {
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Sleeps until a ping may be due. If no stream is waiting, sleeps until a stream is opened or
    /// the idle timeout has passed.
    async fn wait_for_next_check(&self) {
        if let Some(waiting_time) = self.waiting_time() {
            let left = PING_AFTER_SILENCE.saturating_sub(waiting_time).max(MIN_CHECK_INTERVAL);
            return tokio::time::sleep(left).await;
        }
        let left = IDLE_TIMEOUT.saturating_sub(self.time_since_activity()).max(MIN_CHECK_INTERVAL);
        tokio::select! {
            () = self.stream_opened.notified() => {}
            () = tokio::time::sleep(left) => {}
        }
    }

    fn has_streams(&self) -> bool {
        self.open_streams.load(Ordering::Relaxed) > 0
    }

    fn start_waiting(&self) {
        let now = self.now_ms();
        let order = Ordering::Relaxed;
        let _ = self.waiting_since_ms.compare_exchange(NOT_WAITING, now, order, order);
    }

    fn record_activity(&self) {
        let now = self.now_ms();
        self.last_activity_ms.store(now, Ordering::Relaxed);
        let waiting_since = if self.has_streams() { now } else { NOT_WAITING };
        self.waiting_since_ms.store(waiting_since, Ordering::Relaxed);
    }

    fn waiting_time(&self) -> Option<Duration> {
        let since = self.waiting_since_ms.load(Ordering::Relaxed);
        (since != NOT_WAITING).then(|| Duration::from_millis(self.now_ms().saturating_sub(since)))
    }

    fn time_since_activity(&self) -> Duration {
        let last_activity = self.last_activity_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(last_activity))
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.state.open_streams.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Each read of at least one byte is activity of the peer.
impl ReadObserver for LivenessState {
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        if bytes > 0 {
            self.record_activity();
        }
        Ok(())
    }
}
