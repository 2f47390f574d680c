//! From INI text to [`Manifest`].

use pollenlever_core::config::ServiceConfig;
use pollenlever_core::id::RegionName;

use super::Manifest;
use super::coverage::shadows;
use super::kind_reader::read_kind;
use super::service_reader::read_service;
use super::values;
use crate::settings::ini::{Document, Faults, Section, SectionReader};
use crate::store::ServiceObject;

const SECTIONS: &str = "[manifest], [service NAME], [kind SERVICE/NAME]";
/// Largest configuration of one service; the platform's store holds values up to a megabyte, and
/// the rest is left for the submission ids beside it.
const MAX_SERVICE_BYTES: usize = 1_000_000 - 4_096;

/// A service with the line of its section and of the path of each of its kinds.
struct Declared {
    cfg: ServiceConfig,
    line: usize,
    kind_lines: Vec<usize>,
}

/// Reads and checks a whole manifest.
pub(super) fn parse(file: &str, text: &str) -> Result<Manifest, Faults> {
    let mut faults = Faults::new(file);
    let doc = Document::parse(text, &mut faults);
    let regions = read_regions(&doc, &mut faults);
    let mut declared = read_services(&doc, &regions, &mut faults);
    read_kinds(&doc, &mut declared, &mut faults);
    for service in &declared {
        check_kinds(service, &mut faults);
        check_size(service, &mut faults);
    }
    let services = declared.into_iter().map(|it| it.cfg).collect();
    faults.into_result(Manifest { regions, services })
}

fn read_regions(doc: &Document, faults: &mut Faults) -> Vec<RegionName> {
    let mut reader = SectionReader::new(doc, "manifest", faults);
    let names = reader.required("regions", values::regions);
    reader.finish();
    names.unwrap_or_default()
}

fn read_services(doc: &Document, regions: &[RegionName], faults: &mut Faults) -> Vec<Declared> {
    let mut declared = Vec::new();
    for section in &doc.sections {
        match section.name.split_once(' ') {
            Some(("service", name)) => {
                let cfg = read_service(section, name.trim(), regions, faults);
                declared.push(Declared { cfg, line: section.line, kind_lines: Vec::new() });
            }
            Some(("kind", _)) => {}
            _ if section.name == "manifest" => {}
            _ => {
                let place = format!("[{}]", section.name);
                faults.push(section.line, place, "an unknown section", SECTIONS);
            }
        }
    }
    if declared.is_empty() {
        faults.push(doc.lines.max(1), "manifest", "no service", "at least one [service NAME]");
    }
    declared
}

fn read_kinds(doc: &Document, declared: &mut [Declared], faults: &mut Faults) {
    for section in &doc.sections {
        if let Some(("kind", place)) = section.name.split_once(' ') {
            read_kind_of(section, place.trim(), declared, faults);
        }
    }
}

fn read_kind_of(section: &Section, place: &str, declared: &mut [Declared], faults: &mut Faults) {
    let title = format!("[{}]", section.name);
    let Some((service, name)) = place.split_once('/') else {
        faults.push(section.line, title, format!("{place:?}"), "[kind SERVICE/NAME]");
        return;
    };
    let Some(owner) = declared.iter_mut().find(|it| *it.cfg.service == *service) else {
        let found = format!("the undeclared service {service:?}");
        faults.push(section.line, title, found, "a service with a [service NAME] section");
        return;
    };
    let kind = read_kind(section, name, &owner.cfg, faults);
    owner.cfg.kinds.push(kind);
    owner.kind_lines.push(section.entry("path").map_or(section.line, |it| it.line));
}

/// Every service needs a kind, and every kind must be reachable.
fn check_kinds(service: &Declared, faults: &mut Faults) {
    let Declared { cfg, line, kind_lines } = service;
    if cfg.kinds.is_empty() {
        let allowed = format!("at least one [kind {}/NAME]", cfg.service);
        faults.push(*line, format!("[service {}]", cfg.service), "no kind of request", allowed);
    }
    for (index, kind) in cfg.kinds.iter().enumerate() {
        let earlier = cfg.kinds[..index].iter().position(|it| shadows(it, kind));
        if let Some(first) = earlier {
            let place = format!("[kind {}/{}] path", cfg.service, kind.name);
            let taken = &cfg.kinds[first];
            let found = format!(
                "{} {}, which {:?} on line {} takes first",
                kind.method,
                kind.path.as_str(),
                &*taken.name,
                kind_lines[first],
            );
            faults.push(kind_lines[index], place, found, "narrow patterns above wide ones");
        }
    }
}

fn check_size(service: &Declared, faults: &mut Faults) {
    let object = ServiceObject::new(&service.cfg, &[], "");
    let size = serde_json::to_vec(&object).map_or(usize::MAX, |it| it.len());
    if size > MAX_SERVICE_BYTES {
        let place = format!("[service {}]", service.cfg.service);
        let allowed = format!("at most {MAX_SERVICE_BYTES} bytes, so that it fits one object");
        faults.push(service.line, place, format!("{size} bytes of configuration"), allowed);
    }
}
