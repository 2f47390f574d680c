use std::ops::RangeInclusive;

use pollenlever_core::config::{Objective, PathPattern, RequestKind, ServiceConfig};

use super::values;
use crate::settings::ini::values::{millis, number};
use crate::settings::ini::{Faults, Section, SectionReader};

const DEADLINE_MS: RangeInclusive<u64> = 1..=3_600_000;
const RETRY_BUDGET: RangeInclusive<u32> = 0..=100;
const MAX_CRASHES: RangeInclusive<u32> = 1..=100;

/// Reads a `[kind SERVICE/NAME]` section of `service`. A method or path that is absent or wrong
/// stays empty.
pub(super) fn read_kind(
    section: &Section,
    name: &str,
    service: &ServiceConfig,
    faults: &mut Faults,
) -> RequestKind {
    let base = RequestKind::default();
    let mut reader = SectionReader::of(section, faults);
    if let Err(allowed) = values::name(name) {
        reader.fault("name", format!("{name:?}"), allowed);
    }
    let kind = RequestKind {
        name: name.into(),
        method: reader.required("method", values::method).unwrap_or_default(),
        path: reader.required("path", values::path).unwrap_or_else(|| PathPattern::from("")),
        importance: reader.required("importance", values::importance).unwrap_or(base.importance),
        idempotent: reader.required("idempotent", values::boolean).unwrap_or(base.idempotent),
        derive_key: reader.optional("derive_key", values::boolean).unwrap_or(base.derive_key),
        deadline: reader.optional("deadline_ms", millis(DEADLINE_MS)).unwrap_or(base.deadline),
        retry_budget: reader
            .optional("retry_budget", number(RETRY_BUDGET))
            .unwrap_or(base.retry_budget),
        max_crashes: reader
            .optional("max_crashes", number(MAX_CRASHES))
            .unwrap_or(base.max_crashes),
        objective: read_objective(&mut reader),
    };
    check_once_options(&kind, service, &mut reader);
    reader.finish();
    kind
}

fn read_objective(reader: &mut SectionReader<'_>) -> Objective {
    let base = Objective::default();
    let good_ratio = reader.optional("objective_good_percent", values::good_percent);
    let window = reader.optional("objective_window_days", values::window);
    Objective {
        good_ratio: good_ratio.unwrap_or(base.good_ratio),
        window: window.unwrap_or(base.window),
    }
}

/// Checks the options that depend on whether the kind is idempotent.
fn check_once_options(kind: &RequestKind, service: &ServiceConfig, reader: &mut SectionReader<'_>) {
    if kind.idempotent && kind.derive_key {
        let allowed = "true only with idempotent = false; an idempotent request needs no key";
        reader.fault("derive_key", "true with idempotent = true", allowed);
    }
    if !kind.idempotent && kind.deadline > service.retention {
        let retention = service.retention.as_millis();
        let found = format!("{} ms, over the retention of its service", kind.deadline.as_millis());
        let allowed = format!("for a non-idempotent kind at most retention_ms, {retention}");
        reader.fault("deadline_ms", found, allowed);
    }
}
