use std::ops::RangeInclusive;

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::RegionName;

use super::values;
use crate::settings::ini::values::{millis, number};
use crate::settings::ini::{Faults, Section, SectionReader};

const SLOTS_RANGE: RangeInclusive<u32> = 1..=100_000;
const CONNECTIONS_RANGE: RangeInclusive<u32> = 1..=1_000_000;
const RETENTION_MS_RANGE: RangeInclusive<u64> = 1_000..=3_600_000;
const RAMP_UP_MS_RANGE: RangeInclusive<u64> = 0..=600_000;

/// Reads a `[service NAME]` section. Its kinds are added later from their own sections.
pub(super) fn read_service(
    section: &Section,
    name: &str,
    regions: &[RegionName],
    faults: &mut Faults,
) -> ServiceConfig {
    let defaults = ServiceConfig::default();
    let mut reader = SectionReader::from_section(section, faults);
    if let Err(allowed) = values::ascii_name(name) {
        reader.report_fault("name", format!("{name:?}"), allowed);
    }
    let cfg = ServiceConfig {
        service: name.into(),
        slots: reader.required("slots", number(SLOTS_RANGE)).unwrap_or(defaults.slots),
        connections: reader
            .optional("connections", number(CONNECTIONS_RANGE))
            .unwrap_or(defaults.connections),
        regions: read_regions(&mut reader, regions),
        retention: reader
            .optional("retention_ms", millis(RETENTION_MS_RANGE))
            .unwrap_or(defaults.retention),
        retry_ratio: reader.optional("retry_ratio", values::ratio).unwrap_or(defaults.retry_ratio),
        cross_region_bytes: reader
            .optional("cross_region_bytes_per_s", number(0..=u64::MAX))
            .unwrap_or(defaults.cross_region_bytes),
        ramp_up: reader
            .optional("ramp_up_ms", millis(RAMP_UP_MS_RANGE))
            .unwrap_or(defaults.ramp_up),
        ..defaults
    };
    if cfg.connections < cfg.slots {
        let found = format!("{} connections for {} slots", cfg.connections, cfg.slots);
        reader.report_fault("connections", found, "at least as many connections as slots");
    }
    reader.finish();
    cfg
}

/// Reads the regions of a service. A service without the key `regions` has targets in all of `known`.
fn read_regions(reader: &mut SectionReader<'_>, known: &[RegionName]) -> Vec<RegionName> {
    let Some(named) = reader.optional("regions", values::region_names) else {
        return known.to_vec();
    };
    let unknown = named.iter().filter(|it| !known.contains(it));
    let unknown: Vec<&str> = unknown.map(|it| &**it).collect();
    if !unknown.is_empty() {
        let found = format!("unknown regions {:?}", unknown.join(", "));
        reader.report_fault(
            "regions",
            found,
            format!("regions of [manifest]: {}", known.join(", ")),
        );
    }
    named
}
