use super::Measurement;
use super::cold_start::ColdStart;
use super::fairness::Fairness;
use super::misleading::Misleading;
use super::overload::Overload;
use super::poison::Poison;
use super::regions::Regions;
use super::slow_service::SlowService;
use super::wasted_work::WastedWork;
use super::zone_loss::ZoneLoss;

/// All measurements, in the order of `scripts/measure list`.
pub static CATALOG: &[&dyn Measurement] = &[
    &Overload,
    &SlowService,
    &WastedWork,
    &Poison,
    &Misleading,
    &ColdStart,
    &ZoneLoss,
    &Regions,
    &Fairness,
];
