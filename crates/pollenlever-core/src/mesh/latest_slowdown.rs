use std::time::Duration;

use super::{InstanceId, ReportedLoad, ReportedLoadError, StartTime};
use crate::Timestamp;

/// Age from which a report is ignored; other work slows a VM for some 600 ms at a time.
const MAX_AGE: Duration = Duration::from_millis(500);
/// Percentage that means as usual.
const USUAL_PERCENT: u16 = 100;

/// The latest slowdown that the target beside a node reports.
#[derive(Debug, Default)]
pub struct LatestSlowdown {
    /// Process of the target that the rest is about.
    process: Option<(InstanceId, StartTime)>,
    /// Reported percentage and when it was received.
    latest: Option<(Timestamp, u16)>,
    has_malformed: bool,
}

impl LatestSlowdown {
    /// Records what a response of a process reports. Returns the error if it is the first malformed
    /// report of the process. Reports may be recorded out of order.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pollenlever_core::mesh::{LatestSlowdown, ReportedLoadError};
    /// let ms = Duration::from_millis;
    /// let mut latest = LatestSlowdown::default();
    /// assert_eq!(latest.record(ms(0), &"i-1".into(), 5, "3,1,8,300".parse()), None);
    /// assert_eq!(latest.percent(ms(0), &"i-1".into(), 5), 300);
    /// assert_eq!(latest.percent(ms(250), &"i-1".into(), 5), 200);
    /// assert_eq!(latest.percent(ms(500), &"i-1".into(), 5), 0);
    /// assert_eq!(latest.percent(ms(0), &"i-2".into(), 9), 0, "another process");
    /// let malformed = Some(ReportedLoadError::FieldCount(1));
    /// assert_eq!(latest.record(ms(1), &"i-1".into(), 5, "x".parse()), malformed);
    /// assert_eq!(latest.record(ms(2), &"i-1".into(), 5, "x".parse()), None);
    /// ```
    pub fn record(
        &mut self,
        received: Timestamp,
        instance: &InstanceId,
        started: StartTime,
        report: Result<ReportedLoad, ReportedLoadError>,
    ) -> Option<ReportedLoadError> {
        if !self.is_of(instance, started) {
            let process = Some((instance.clone(), started));
            *self = LatestSlowdown { process, ..LatestSlowdown::default() };
        }
        match report {
            Ok(report) => {
                if let Some(percent) = report.slowdown_percent
                    && self.latest.is_none_or(|(at, _)| at <= received)
                {
                    let percent = u16::try_from(percent).unwrap_or(u16::MAX);
                    self.latest = Some((received, percent.max(USUAL_PERCENT)));
                }
                None
            }
            Err(err) => {
                let is_first = !std::mem::replace(&mut self.has_malformed, true);
                is_first.then_some(err)
            }
        }
    }

    /// Slowdown of a process in percent: at least 100, and nearer to 100 the older the report is;
    /// 0 if there was none in the last 500 ms.
    pub fn percent(&self, now: Timestamp, instance: &InstanceId, started: StartTime) -> u16 {
        let Some((received, percent)) = self.latest.filter(|_| self.is_of(instance, started))
        else {
            return 0;
        };
        let age = now.saturating_sub(received);
        if age >= MAX_AGE {
            return 0;
        }
        let weight = 1.0 - age.as_secs_f64() / MAX_AGE.as_secs_f64();
        USUAL_PERCENT + (f64::from(percent - USUAL_PERCENT) * weight).round() as u16
    }

    fn is_of(&self, instance: &InstanceId, started: StartTime) -> bool {
        self.process.as_ref().is_some_and(|it| *it == (instance.clone(), started))
    }
}
