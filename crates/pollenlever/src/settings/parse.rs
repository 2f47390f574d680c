//! Parses INI text into [`Settings`].

use std::collections::HashSet;

use super::ini::{Document, Expected, Faults, SectionReader, values};
use super::{BYTES_PER_MB, DESCRIPTORS_RANGE, MEMORY_MB_RANGE, PolicyName, Settings};

const SECTIONS: [&str; 7] = ["node", "target", "store", "peers", "limits", "policy", "log"];
const LOG_LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
const BODY_BYTES_RANGE: std::ops::RangeInclusive<usize> = 1..=64 << 20;
const HEADER_BYTES_RANGE: std::ops::RangeInclusive<usize> = 1 << 10..=1 << 20;
const RING_CAPACITY_RANGE: std::ops::RangeInclusive<usize> = 16..=1 << 20;
const DRAIN_TIMEOUT_MS_RANGE: std::ops::RangeInclusive<u64> = 0..=600_000;

/// Parses and validates every setting; `file` is the name that faults show.
pub(super) fn parse(file: &str, text: &str) -> Result<Settings, Faults> {
    let mut faults = Faults::new(file);
    let doc = Document::parse(text, &mut faults);
    report_unknown_sections(&doc, &mut faults);
    let mut cfg = Settings::default();
    read_node(&doc, &mut cfg, &mut faults);
    read_target_store_and_peers(&doc, &mut cfg, &mut faults);
    read_limits(&doc, &mut cfg, &mut faults);
    read_policy(&doc, &mut cfg, &mut faults);
    read_log(&doc, &mut cfg, &mut faults);
    report_duplicate_addresses(&doc, &mut faults);
    faults.into_result(cfg)
}

fn report_unknown_sections(doc: &Document, faults: &mut Faults) {
    for section in doc.sections.iter().filter(|it| !SECTIONS.contains(&it.name.as_str())) {
        let allowed = format!("the sections {}", SECTIONS.join(", "));
        faults.push(section.line, format!("[{}]", section.name), "an unknown section", allowed);
    }
}

fn read_node(doc: &Document, cfg: &mut Settings, faults: &mut Faults) {
    let mut reader = SectionReader::new(doc, "node", faults);
    set(&mut cfg.entry, reader.required("entry", values::connect_address));
    set(&mut cfg.peer, reader.required("peer", values::listen_address));
    cfg.advertise = reader.optional("advertise", values::connect_address);
    if cfg.peer.ip().is_unspecified() && cfg.advertise.is_none() {
        let found = format!("the wildcard {} without `advertise`", cfg.peer);
        reader.report_fault(
            "peer",
            found,
            "an address of this machine, or a wildcard with `advertise`",
        );
    }
    set(&mut cfg.region, reader.required("region", values::unicode_name));
    set(&mut cfg.zone, reader.required("zone", values::unicode_name));
    reader.finish();
}

fn read_target_store_and_peers(doc: &Document, cfg: &mut Settings, faults: &mut Faults) {
    let mut reader = SectionReader::new(doc, "target", faults);
    set(&mut cfg.target, reader.required("address", values::connect_address));
    reader.finish();
    let mut reader = SectionReader::new(doc, "store", faults);
    set(&mut cfg.store, reader.required("address", values::connect_address));
    reader.finish();
    let mut reader = SectionReader::new(doc, "peers", faults);
    set(
        &mut cfg.seed_peers,
        reader.optional("seeds", values::comma_separated(values::connect_address)),
    );
    reader.finish();
}

fn read_limits(doc: &Document, cfg: &mut Settings, faults: &mut Faults) {
    let mut reader = SectionReader::new(doc, "limits", faults);
    set(
        &mut cfg.max_body_bytes,
        reader.optional("max_body_bytes", values::number(BODY_BYTES_RANGE)),
    );
    let header_bytes = reader.optional("max_header_bytes", values::number(HEADER_BYTES_RANGE));
    set(&mut cfg.max_header_bytes, header_bytes);
    set(
        &mut cfg.ring_capacity,
        reader.optional("ring_capacity", values::number(RING_CAPACITY_RANGE)),
    );
    let memory_mb = reader.optional("memory_mb", values::number(MEMORY_MB_RANGE));
    cfg.memory_bytes = memory_mb.map(|it| it * BYTES_PER_MB);
    let max_descriptors = reader.optional("max_descriptors", values::number(DESCRIPTORS_RANGE));
    cfg.max_descriptors = max_descriptors;
    set(
        &mut cfg.drain_timeout,
        reader.optional("drain_timeout_ms", values::millis(DRAIN_TIMEOUT_MS_RANGE)),
    );
    reader.finish();
}

fn read_policy(doc: &Document, cfg: &mut Settings, faults: &mut Faults) {
    let mut reader = SectionReader::new(doc, "policy", faults);
    set(&mut cfg.policy, reader.optional("name", parse_policy_name));
    cfg.seed = reader.optional("seed", values::number(0..=u64::MAX));
    reader.finish();
}

fn read_log(doc: &Document, cfg: &mut Settings, faults: &mut Faults) {
    let mut reader = SectionReader::new(doc, "log", faults);
    let level = reader.optional("level", values::one_of(LOG_LEVELS));
    set(&mut cfg.log_level, level.map(str::to_owned));
    reader.finish();
}

fn parse_policy_name(text: &str) -> Result<PolicyName, Expected> {
    let all = [PolicyName::Pollenlever, PolicyName::Naive];
    let found = all.into_iter().find(|it| it.as_str() == text);
    found.ok_or_else(|| "pollenlever or naive".into())
}

/// Reports addresses that are set twice: two listeners on one machine cannot share an address.
fn report_duplicate_addresses(doc: &Document, faults: &mut Faults) {
    let address_keys =
        [("node", "entry"), ("node", "peer"), ("target", "address"), ("store", "address")];
    let mut seen = HashSet::new();
    for (section, key) in address_keys {
        let Some(entry) = doc.section(section).and_then(|it| it.entry(key)) else { continue };
        if !entry.value.is_empty() && !seen.insert(&entry.value) {
            let found = format!("{}, which is also used above", entry.value);
            faults.push(entry.line, format!("[{section}] {key}"), found, "a unique address");
        }
    }
}

/// Replaces the default in `field` by `value`, if there is one.
fn set<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
