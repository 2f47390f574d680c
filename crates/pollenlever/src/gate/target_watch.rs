use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use pollenlever_core::policy::{Event, TargetNotice};
use tokio::net::TcpStream;

use crate::control::BoxControl;
use crate::ring::Ring;

/// Silence of an announced target after which it is probed.
const REPORT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the target's silence is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a probe's connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Passes on what the target says about itself and notices when it is gone.
pub struct TargetWatch {
    target: SocketAddr,
    events: Ring<Event>,
    control: BoxControl,
    last_report: Mutex<Option<Instant>>,
}

impl TargetWatch {
    /// Watch over the target at `target`.
    pub fn new(target: SocketAddr, events: Ring<Event>, control: BoxControl) -> TargetWatch {
        TargetWatch { target, events, control, last_report: Mutex::new(None) }
    }

    /// Takes a notice of the target and passes it on.
    pub async fn notice(&self, notice: TargetNotice) {
        self.note_report(&notice);
        self.control.target_notice(notice.clone());
        crate::node::report(&self.events, Event::Target(notice)).await;
    }

    /// Probes a silent target for ever and reports [`TargetNotice::Gone`] once it is gone.
    pub async fn watch(&self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.is_overdue() && !self.answers_probe().await {
                log::warn!("target is gone target={}", self.target);
                self.notice(TargetNotice::Gone).await;
            }
        }
    }

    fn note_report(&self, notice: &TargetNotice) {
        let mut last_report = self.last_report.lock().unwrap_or_else(PoisonError::into_inner);
        *last_report = match notice {
            TargetNotice::Announce { .. } => Some(Instant::now()),
            TargetNotice::Load { .. } => last_report.map(|_| Instant::now()),
            TargetNotice::Leaving => *last_report,
            TargetNotice::Gone => None,
        };
    }

    fn is_overdue(&self) -> bool {
        let last_report = self.last_report.lock().unwrap_or_else(PoisonError::into_inner);
        last_report.is_some_and(|it| it.elapsed() > REPORT_TIMEOUT)
    }

    async fn answers_probe(&self) -> bool {
        let connect = TcpStream::connect(self.target);
        matches!(tokio::time::timeout(PROBE_TIMEOUT, connect).await, Ok(Ok(_)))
    }
}
