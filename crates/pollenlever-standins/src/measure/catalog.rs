use super::Measurement;
use super::cold_start::ColdStart;
use super::config::ConfigMeasurement;
use super::control::ControlMeasurement;
use super::fairness::Fairness;
use super::latency::Latency;
use super::misleading::Misleading;
use super::overload::Overload;
use super::poison::Poison;
use super::promises::Promises;
use super::queue::Queue;
use super::regions::Regions;
use super::slow_service::SlowService;
use super::wasted_work::WastedWork;
use super::workspaces::Workspaces;
use super::zone_loss::ZoneLoss;

/// All measurements, in the order of `scripts/measure list`.
pub static MEASUREMENTS: &[&dyn Measurement] = &[
    &Latency,
    &Promises,
    &ControlMeasurement,
    &ConfigMeasurement,
    &Overload,
    &SlowService,
    &WastedWork,
    &Poison,
    &Misleading,
    &ColdStart,
    &ZoneLoss,
    &Regions,
    &Fairness,
    &Workspaces,
    &Queue,
];
