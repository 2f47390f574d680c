//! Manifests: which values are read, and that all faults are reported together with their lines.

use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::Duration;

use pollenlever::manifest::Manifest;
use pollenlever::settings::Settings;
use pollenlever_core::config::Importance;

const HEADER: &str = "[manifest]\nregions = lombardia, veneto\n[service balance]\nslots = 5\n";
const KIND: &str =
    "[kind balance/check]\nmethod = GET\npath = /a/*\nimportance = high\nidempotent = true\n";

/// Declares one test per case: parses the text and compares its faults with a snapshot.
macro_rules! fault_snapshots {
    ($($name:ident: $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let err = Manifest::parse("release.ini", &$text).unwrap_err();
            insta::assert_snapshot!(stringify!($name), err);
        }
    )*};
}

fault_snapshots! {
    empty_manifest: "";
    invalid_service: "[manifest]\nregions = veneto\n[service Balance!]\nslots = 0\nconnections = 0\n\
        regions = veneto, emilia\nretention_ms = 1\nretry_ratio = 2\nramp_up_ms = soon\n\
        cross_region_bytes_per_s = -1\ncolor = blue\n";
    invalid_kind: format!("{HEADER}[kind balance/Check]\nmethod = get\npath = a\nimportance = urgent\n\
        idempotent = no\nderive_key = 1\ndeadline_ms = 0\nretry_budget = 101\nmax_crashes = 0\n\
        objective_good_percent = 100\nobjective_window_days = 0\nweight = 3\n");
    kind_without_mandatory_keys: format!("{HEADER}[kind balance/check]\n");
    invalid_sections: format!("{HEADER}{KIND}[kind check]\n[kind charging/add]\n[services a]\n");
    duplicate_kind: format!("{HEADER}{KIND}{KIND}");
    derived_key_of_idempotent_kind: format!("{HEADER}{KIND}derive_key = true\n");
    deadline_over_retention: format!("{HEADER}{}deadline_ms = 200000\n", KIND.replace("true", "false"));
    shadowed_path_patterns: format!("{HEADER}{KIND}{}{}",
        KIND.replace("check", "same"), KIND.replace("check", "one").replace("/a/*", "/a/1"));
    wildcard_inside_segment: format!("{HEADER}{}{}",
        KIND.replace("/a/*", "/a*"), KIND.replace("check", "rest").replace("/a/*", "/**/a"));
    fewer_connections_than_slots: format!("{HEADER}connections = 4\n{KIND}");
}

#[test]
fn latin1_is_rejected_with_its_line() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("manifest-latin1.ini");
    std::fs::write(&path, b"[manifest]\nregions = Nor\xf0ur\n").unwrap();
    let err = Manifest::load(&path).unwrap_err().to_string();
    let err = err.replace(&path.display().to_string(), "release.ini");
    insta::assert_snapshot!("manifest_in_latin1", err);
}

#[test]
fn specific_patterns_above_general_ones_are_accepted() {
    let general = KIND.replace("check", "general").replace("/a/*", "/a/**");
    let other = KIND.replace("check", "other").replace("GET", "POST");
    let text = format!("{HEADER}{KIND}{other}{general}");
    let manifest = Manifest::parse("release.ini", &text).unwrap();
    let kinds = &manifest.services[0].kinds;
    assert_eq!(kinds.len(), 3);
    assert_eq!(&*manifest.services[0].kind_of("GET", "/a/1/2").unwrap().name, "general");
}

#[test]
fn all_options_are_read() {
    let text = format!(
        "{HEADER}connections = 130\nregions = veneto\nretention_ms = 60000\nretry_ratio = 0.2\n\
         cross_region_bytes_per_s = 1000\nramp_up_ms = 3000\n[kind balance/add]\nmethod = POST\n\
         path = /a\nimportance = critical\nidempotent = false\nderive_key = true\n\
         deadline_ms = 1500\nretry_budget = 4\nmax_crashes = 3\nobjective_good_percent = 99.5\n\
         objective_window_days = 7\n"
    );
    let manifest = Manifest::parse("release.ini", &text).unwrap();
    let service = &manifest.services[0];
    assert_eq!((service.slots, service.connections, service.cross_region_bytes), (5, 130, 1000));
    assert_eq!(service.regions, ["veneto".into()]);
    assert_eq!(
        (service.retention, service.ramp_up),
        (Duration::from_secs(60), Duration::from_secs(3))
    );
    let kind = &service.kinds[0];
    assert_eq!(
        (kind.importance, kind.is_idempotent, kind.derive_key),
        (Importance::Critical, false, true)
    );
    assert_eq!((kind.retry_budget, kind.max_crashes), (4, 3));
    assert_eq!(kind.deadline, Duration::from_millis(1500));
    assert_eq!(kind.objective.window, Duration::from_secs(7 * 24 * 3600));
    assert!((kind.objective.good_ratio - 0.995).abs() < 1e-9);
}

#[test]
fn manifest_can_declare_210_services() {
    let mut text = "[manifest]\nregions = lombardia, veneto\n".to_owned();
    for number in 0..210 {
        writeln!(text, "[service s{number}]\nslots = 5").unwrap();
        text.push_str(&KIND.replace("balance", &format!("s{number}")));
    }
    assert_eq!(Manifest::parse("release.ini", &text).unwrap().services.len(), 210);
}

#[test]
fn service_larger_than_one_object_is_rejected() {
    let mut text = HEADER.to_owned();
    for number in 0..1100 {
        let path = format!("/a/{number}/{}", "x".repeat(950));
        text.push_str(&KIND.replace("check", &format!("k{number}")).replace("/a/*", &path));
    }
    let err = Manifest::parse("release.ini", &text).unwrap_err().to_string();
    assert!(
        err.starts_with("1 fault in release.ini:\n  release.ini:3: [service balance]"),
        "{err}"
    );
    assert!(err.contains("so that it fits into one store object"), "{err}");
}

#[test]
fn examples_are_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for deployment in ["ferraresi", "vegmerking"] {
        let manifest = Manifest::load(&root.join(deployment).join("manifest.ini")).unwrap();
        assert_eq!((manifest.services.len(), manifest.regions.len()), (4, 3));
        let cfg = Settings::load(&root.join(deployment).join("node.ini")).unwrap();
        assert!(manifest.regions.iter().any(|it| **it == *cfg.region));
    }
}
