use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use pollenlever_core::policy::{Event, TargetNotice};
use tokio::net::TcpStream;

use crate::control::SharedControl;
use crate::ring::RingSender;

/// An announced target is probed once its last report is older than this.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);
/// Interval at which the age of the last report is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the connection of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Forwards the notices of the target about itself, and health checks the target when it stops
/// reporting.
pub struct TargetWatch {
    target: SocketAddr,
    events: RingSender<Event>,
    control: SharedControl,
    /// Time of the last report; `None` if the target has not announced itself or is gone.
    last_report: Mutex<Option<Instant>>,
}

impl TargetWatch {
    /// Creates a watch for the target at `target`. Notices go to `events` and to `control`.
    pub fn new(
        target: SocketAddr,
        events: RingSender<Event>,
        control: SharedControl,
    ) -> TargetWatch {
        TargetWatch { target, events, control, last_report: Mutex::new(None) }
    }

    /// Records a notice of the target and forwards it to the control threads and the decision
    /// thread.
    pub async fn handle_notice(&self, notice: TargetNotice) {
        self.record_report(&notice);
        self.control.handle_target_notice(notice.clone());
        crate::node::push_event(&self.events, Event::Target(notice)).await;
    }

    /// Probes the target whenever its reports are overdue, and reports [`TargetNotice::Exited`] if it
    /// does not accept a connection. Never returns.
    pub async fn watch(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.is_report_overdue() && !self.answers_probe().await {
                log::warn!("target is gone target={}", self.target);
                self.handle_notice(TargetNotice::Exited).await;
            }
        }
    }

    fn record_report(&self, notice: &TargetNotice) {
        let mut last_report = self.last_report.lock().unwrap_or_else(PoisonError::into_inner);
        *last_report = match notice {
            TargetNotice::Announce { .. } => Some(Instant::now()),
            TargetNotice::Load { .. } => last_report.map(|_| Instant::now()),
            TargetNotice::Leaving => *last_report,
            TargetNotice::Exited => None,
        };
    }

    fn is_report_overdue(&self) -> bool {
        let last_report = self.last_report.lock().unwrap_or_else(PoisonError::into_inner);
        last_report.is_some_and(|it| it.elapsed() > MAX_REPORT_AGE)
    }

    async fn answers_probe(&self) -> bool {
        let connect = TcpStream::connect(self.target);
        matches!(tokio::time::timeout(PROBE_TIMEOUT, connect).await, Ok(Ok(_)))
    }
}
