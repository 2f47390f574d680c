use std::ops::RangeInclusive;

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::RegionName;

use super::values;
use crate::settings::ini::values::{millis, number};
use crate::settings::ini::{Faults, Section, SectionReader};

const SLOTS: RangeInclusive<u32> = 1..=100_000;
const CONNECTIONS: RangeInclusive<u32> = 1..=1_000_000;
const RETENTION_MS: RangeInclusive<u64> = 1_000..=3_600_000;
const RAMP_UP_MS: RangeInclusive<u64> = 0..=600_000;

/// Reads a `[service NAME]` section; its kinds come from sections of their own.
pub(super) fn read_service(
    section: &Section,
    name: &str,
    regions: &[RegionName],
    faults: &mut Faults,
) -> ServiceConfig {
    let base = ServiceConfig::default();
    let mut reader = SectionReader::of(section, faults);
    if let Err(allowed) = values::name(name) {
        reader.fault("name", format!("{name:?}"), allowed);
    }
    let cfg = ServiceConfig {
        service: name.into(),
        slots: reader.required("slots", number(SLOTS)).unwrap_or(base.slots),
        connections: reader
            .optional("connections", number(CONNECTIONS))
            .unwrap_or(base.connections),
        regions: read_regions(&mut reader, regions),
        retention: reader.optional("retention_ms", millis(RETENTION_MS)).unwrap_or(base.retention),
        retry_ratio: reader.optional("retry_ratio", values::ratio).unwrap_or(base.retry_ratio),
        cross_region_bytes: reader
            .optional("cross_region_bytes_per_s", number(0..=u64::MAX))
            .unwrap_or(base.cross_region_bytes),
        ramp_up: reader.optional("ramp_up_ms", millis(RAMP_UP_MS)).unwrap_or(base.ramp_up),
        ..base
    };
    if cfg.connections < cfg.slots {
        let found = format!("{} connections for {} slots", cfg.connections, cfg.slots);
        reader.fault("connections", found, "at least as many connections as slots");
    }
    reader.finish();
    cfg
}

/// The regions of a service, all of them unless it names some.
fn read_regions(reader: &mut SectionReader<'_>, known: &[RegionName]) -> Vec<RegionName> {
    let Some(named) = reader.optional("regions", values::regions) else {
        return known.to_vec();
    };
    let unknown = named.iter().filter(|it| !known.contains(it));
    let unknown: Vec<&str> = unknown.map(|it| &**it).collect();
    if !unknown.is_empty() {
        let found = format!("unknown regions {:?}", unknown.join(", "));
        reader.fault("regions", found, format!("regions of [manifest]: {}", known.join(", ")));
    }
    named
}
