use std::collections::BTreeMap;
use std::time::Duration;

use super::{RequestClass, RetryBudget};
use crate::Timestamp;
use crate::id::ServiceName;

/// Weight of a new run in the moving average of the calls per run.
const RUN_WEIGHT: f64 = 0.05;
/// Averaging time of the completion ratios that called gates report.
const REPORT_AVERAGING_TIME: Duration = Duration::from_millis(300);
/// Smallest weight of a new report.
const MIN_REPORT_WEIGHT: f64 = 0.2;
/// Age up to which a reported share counts fully. In as much time again it grows to 1.
const MAX_SHARE_AGE: Duration = Duration::from_secs(1);

/// Predicts whether a run of the target beside this node will get an answer to each of its calls.
///
/// A run that makes several calls, one after the other, to a service that rejects half of them
/// rarely completes, and by the time it fails its work is wasted. The prediction combines how many
/// calls a run of its class makes, how likely the retry budget lets each of them succeed, and what
/// the called gates report for the runs that these calls start in turn. So a gate at the top of the
/// chain learns with one reply how the services far below it fare.
#[derive(Debug, Default)]
pub struct CallOutlook {
    calls_per_run: BTreeMap<RequestClass, BTreeMap<ServiceName, f64>>,
    reports: BTreeMap<(ServiceName, RequestClass), Report>,
    admitted_shares: BTreeMap<(ServiceName, RequestClass), Report>,
}

/// Mean of a ratio that the gates of a service report for a class.
#[derive(Debug)]
struct Report {
    ratio: f64,
    updated: Timestamp,
}

impl Report {
    fn record(&mut self, now: Timestamp, ratio: f64) {
        let gap = now.saturating_sub(self.updated).as_secs_f64();
        let weight = 1.0 - (-gap / REPORT_AVERAGING_TIME.as_secs_f64()).exp();
        self.ratio += weight.max(MIN_REPORT_WEIGHT) * (ratio - self.ratio);
        self.updated = now;
    }
}

impl CallOutlook {
    /// Records the calls of a run that ended with an answer. Runs that failed are not recorded,
    /// since they may have ended before their last call.
    pub fn record_run(&mut self, class: RequestClass, calls: &BTreeMap<ServiceName, u32>) {
        let first = || calls.iter().map(|(it, count)| (it.clone(), f64::from(*count))).collect();
        let means = self.calls_per_run.entry(class).or_insert_with(first);
        for service in calls.keys() {
            means.entry(service.clone()).or_insert(0.0);
        }
        for (service, mean) in means.iter_mut() {
            let count = calls.get(service).copied().unwrap_or_default();
            *mean += RUN_WEIGHT * (f64::from(count) - *mean);
        }
        means.retain(|_, mean| *mean > RUN_WEIGHT / 2.0);
    }

    /// Records the completion ratio that a gate of `service` reported for runs of `class`.
    pub fn record_report(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: RequestClass,
        ratio: f64,
    ) {
        let key = (service.clone(), class);
        self.reports.entry(key).or_insert(Report { ratio, updated: now }).record(now, ratio);
    }

    /// Records the share of the chains of a class for which a gate of `service` and the services further
    /// down have room.
    pub fn record_admitted_share(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        class: RequestClass,
        share: f64,
    ) {
        let key = (service.clone(), class);
        let first = Report { ratio: share, updated: now };
        self.admitted_shares.entry(key).or_insert(first).record(now, share);
    }

    /// Share of the chains of a class for which `service` has room, by what its gates report; 1 without
    /// recent reports.
    pub fn admitted_share_at(
        &self,
        now: Timestamp,
        service: &ServiceName,
        class: RequestClass,
    ) -> f64 {
        let Some(report) = self.admitted_shares.get(&(service.clone(), class)) else { return 1.0 };
        let age = now.saturating_sub(report.updated).as_secs_f64() / MAX_SHARE_AGE.as_secs_f64();
        let faded = (age - 1.0).clamp(0.0, 1.0);
        report.ratio + faded * (1.0 - report.ratio)
    }

    /// Share of the chains of a class for which all services have room that a run of the class calls.
    pub fn admitted_share(&self, now: Timestamp, class: RequestClass) -> f64 {
        let Some(calls) = self.calls_per_run.get(&class) else { return 1.0 };
        let call = class.of_call();
        calls.keys().map(|it| self.admitted_share_at(now, it, call)).fold(1.0, f64::min)
    }

    /// Probability that all calls of a run of `class` that starts now are answered; 1 for a run
    /// that is not known to make calls.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::{CallOutlook, RequestClass, RetryBudget, RetryBudgetSettings};
    /// let (now, service) = (Duration::from_secs(1), "tariff".into());
    /// let class = RequestClass { importance: Importance::Normal, depth: 0 };
    /// let (mut outlook, mut budget) =
    ///     (CallOutlook::default(), RetryBudget::new(RetryBudgetSettings::default()));
    /// for _ in 0..100 {
    ///     outlook.record_run(class, &BTreeMap::from([("tariff".into(), 4)]));
    ///     budget.record_attempt(now, &service, false);
    /// }
    /// assert_eq!(outlook.completion_ratio(now, class, &budget), 1.0);
    /// for _ in 0..100 {
    ///     budget.record_attempt(now, &service, true);
    /// }
    /// assert!(outlook.completion_ratio(now, class, &budget) < 0.1);
    /// ```
    pub fn completion_ratio(
        &self,
        now: Timestamp,
        class: RequestClass,
        budget: &RetryBudget,
    ) -> f64 {
        let Some(calls) = self.calls_per_run.get(&class) else { return 1.0 };
        let call = class.of_call();
        let ratio_of = |(service, count): (&ServiceName, &f64)| {
            let answered = budget.expected_success(now, service, call.retry_priority());
            let report = self.reports.get(&(service.clone(), call));
            (answered * report.map_or(1.0, |it| it.ratio)).powf(*count)
        };
        calls.iter().map(ratio_of).product()
    }
}
