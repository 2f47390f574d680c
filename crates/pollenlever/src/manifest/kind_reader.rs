use std::ops::RangeInclusive;

use pollenlever_core::config::{Objective, PathPattern, RequestKind, ServiceConfig};

use super::values;
use crate::settings::ini::values::{millis, number};
use crate::settings::ini::{Faults, Section, SectionReader};

const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=3_600_000;
const RETRY_BUDGET_RANGE: RangeInclusive<u32> = 0..=100;
const MAX_CRASHES_RANGE: RangeInclusive<u32> = 1..=100;

/// Reads a `[kind SERVICE/NAME]` section, which declares a kind of request of `service`. A method or
/// path that is absent or invalid is reported and left empty.
pub(super) fn read_kind(
    section: &Section,
    name: &str,
    service: &ServiceConfig,
    faults: &mut Faults,
) -> RequestKind {
    let defaults = RequestKind::default();
    let mut reader = SectionReader::from_section(section, faults);
    if let Err(allowed) = values::ascii_name(name) {
        reader.report_fault("name", format!("{name:?}"), allowed);
    }
    let kind = RequestKind {
        name: name.into(),
        method: reader.required("method", values::method).unwrap_or_default(),
        path: reader.required("path", values::path).unwrap_or_else(|| PathPattern::from("")),
        importance: reader
            .required("importance", values::importance)
            .unwrap_or(defaults.importance),
        is_idempotent: reader
            .required("idempotent", values::boolean)
            .unwrap_or(defaults.is_idempotent),
        derive_key: reader.optional("derive_key", values::boolean).unwrap_or(defaults.derive_key),
        deadline: reader
            .optional("deadline_ms", millis(DEADLINE_MS_RANGE))
            .unwrap_or(defaults.deadline),
        retry_budget: reader
            .optional("retry_budget", number(RETRY_BUDGET_RANGE))
            .unwrap_or(defaults.retry_budget),
        max_crashes: reader
            .optional("max_crashes", number(MAX_CRASHES_RANGE))
            .unwrap_or(defaults.max_crashes),
        objective: read_objective(&mut reader),
    };
    check_idempotency_options(&kind, service, &mut reader);
    reader.finish();
    kind
}

fn read_objective(reader: &mut SectionReader<'_>) -> Objective {
    let defaults = Objective::default();
    let good_ratio = reader.optional("objective_good_percent", values::objective_ratio);
    let window = reader.optional("objective_window_days", values::window_days);
    Objective {
        good_ratio: good_ratio.unwrap_or(defaults.good_ratio),
        window: window.unwrap_or(defaults.window),
    }
}

/// Checks the options whose allowed values depend on whether the kind is idempotent.
fn check_idempotency_options(
    kind: &RequestKind,
    service: &ServiceConfig,
    reader: &mut SectionReader<'_>,
) {
    if kind.is_idempotent && kind.derive_key {
        let allowed = "true only with idempotent = false; an idempotent request needs no key";
        reader.report_fault("derive_key", "true with idempotent = true", allowed);
    }
    if !kind.is_idempotent && kind.deadline > service.retention {
        let retention = service.retention.as_millis();
        let found =
            format!("{} ms, longer than the retention of its service", kind.deadline.as_millis());
        let allowed = format!("for a non-idempotent kind at most retention_ms, {retention}");
        reader.report_fault("deadline_ms", found, allowed);
    }
}
