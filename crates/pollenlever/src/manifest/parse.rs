//! Parses INI text into a [`Manifest`].

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::RegionName;

use super::Manifest;
use super::coverage::shadows;
use super::kind_reader::read_kind;
use super::service_reader::read_service;
use super::values;
use crate::settings::ini::{Document, Faults, Section, SectionReader};
use crate::store::ServiceObject;

const ALLOWED_SECTIONS: &str = "[manifest], [service NAME], [kind SERVICE/NAME]";
/// Maximum size of the configuration of one service, encoded as JSON. The platform's store accepts
/// values up to one megabyte, of which 4096 bytes are reserved for the submission ids.
const MAX_SERVICE_BYTES: usize = 1_000_000 - 4_096;

/// A service and the line numbers at which its faults are reported.
struct ParsedService {
    cfg: ServiceConfig,
    /// Line of the section header.
    line: usize,
    /// For each kind, the line of its path, or of its section header if it has no path.
    kind_lines: Vec<usize>,
}

/// Parses and validates a manifest; `file` is the name that faults show.
pub(super) fn parse(file: &str, text: &str) -> Result<Manifest, Faults> {
    let mut faults = Faults::new(file);
    let doc = Document::parse(text, &mut faults);
    let regions = read_regions(&doc, &mut faults);
    let mut services = read_services(&doc, &regions, &mut faults);
    read_kinds(&doc, &mut services, &mut faults);
    for service in &services {
        check_kinds(service, &mut faults);
        check_size(service, &mut faults);
    }
    let services = services.into_iter().map(|it| it.cfg).collect();
    faults.into_result(Manifest { regions, services })
}

fn read_regions(doc: &Document, faults: &mut Faults) -> Vec<RegionName> {
    let mut reader = SectionReader::new(doc, "manifest", faults);
    let names = reader.required("regions", values::region_names);
    reader.finish();
    names.unwrap_or_default()
}

fn read_services(
    doc: &Document,
    regions: &[RegionName],
    faults: &mut Faults,
) -> Vec<ParsedService> {
    let mut services = Vec::new();
    for section in &doc.sections {
        match section.name.split_once(' ') {
            Some(("service", name)) => {
                let cfg = read_service(section, name.trim(), regions, faults);
                services.push(ParsedService { cfg, line: section.line, kind_lines: Vec::new() });
            }
            Some(("kind", _)) => {}
            _ if section.name == "manifest" => {}
            _ => {
                let location = format!("[{}]", section.name);
                faults.push(section.line, location, "an unknown section", ALLOWED_SECTIONS);
            }
        }
    }
    if services.is_empty() {
        faults.push(doc.lines.max(1), "manifest", "no service", "at least one [service NAME]");
    }
    services
}

fn read_kinds(doc: &Document, services: &mut [ParsedService], faults: &mut Faults) {
    for section in &doc.sections {
        if let Some(("kind", full_name)) = section.name.split_once(' ') {
            add_kind(section, full_name.trim(), services, faults);
        }
    }
}

/// Reads a kind and adds it to its service; `full_name` is `SERVICE/NAME`.
fn add_kind(
    section: &Section,
    full_name: &str,
    services: &mut [ParsedService],
    faults: &mut Faults,
) {
    let location = format!("[{}]", section.name);
    let Some((service_name, name)) = full_name.split_once('/') else {
        faults.push(section.line, location, format!("{full_name:?}"), "[kind SERVICE/NAME]");
        return;
    };
    let Some(service) = services.iter_mut().find(|it| *it.cfg.service == *service_name) else {
        let found = format!("the undeclared service {service_name:?}");
        faults.push(section.line, location, found, "a service with a [service NAME] section");
        return;
    };
    let kind = read_kind(section, name, &service.cfg, faults);
    service.cfg.kinds.push(kind);
    service.kind_lines.push(section.entry("path").map_or(section.line, |it| it.line));
}

/// Reports a service without kinds, and kinds that never match because an earlier one shadows them.
fn check_kinds(service: &ParsedService, faults: &mut Faults) {
    let ParsedService { cfg, line, kind_lines } = service;
    if cfg.kinds.is_empty() {
        let allowed = format!("at least one [kind {}/NAME]", cfg.service);
        faults.push(*line, format!("[service {}]", cfg.service), "no kind of request", allowed);
    }
    for (index, kind) in cfg.kinds.iter().enumerate() {
        let earlier = cfg.kinds[..index].iter().position(|it| shadows(it, kind));
        if let Some(first) = earlier {
            let location = format!("[kind {}/{}] path", cfg.service, kind.name);
            let first_kind = &cfg.kinds[first];
            let found = format!(
                "{} {}, which {:?} on line {} already matches",
                kind.method,
                kind.path.as_str(),
                &*first_kind.name,
                kind_lines[first],
            );
            faults.push(kind_lines[index], location, found, "specific patterns above general ones");
        }
    }
}

fn check_size(service: &ParsedService, faults: &mut Faults) {
    let object = ServiceObject::new(&service.cfg, &[], "");
    let size = serde_json::to_vec(&object).map_or(usize::MAX, |it| it.len());
    if size > MAX_SERVICE_BYTES {
        let location = format!("[service {}]", service.cfg.service);
        let allowed =
            format!("at most {MAX_SERVICE_BYTES} bytes, so that it fits into one store object");
        faults.push(service.line, location, format!("{size} bytes of configuration"), allowed);
    }
}
