//! Settings files: all faults are reported together, each with its file, line, key, the value found
//! and the allowed values.

use std::path::{Path, PathBuf};

use pollenlever::settings::{MeshSettings, Settings, SettingsError};

const VALID: &str = "\
[node]
entry = 127.0.0.1:7000
peer = 127.0.0.1:7100
region = Suðvestur
zone = Suðvestur-a
[target]
address = 127.0.0.1:7200
[store]
address = 127.0.0.1:7300
";

/// Declares one test per case: parses the text and compares its faults with a snapshot.
macro_rules! fault_snapshots {
    ($($name:ident: $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let err = Settings::parse("node.ini", $text).unwrap_err();
            insta::assert_snapshot!(stringify!($name), err);
        }
    )*};
}

fault_snapshots! {
    empty_file: "";
    every_value_wrong: "\
        [node]\nentry = localhost:7000\npeer = 0.0.0.0:7100\nadvertise = 10.0.0.1\n\
        region = two words\nzone =\n\
        [target]\naddress = 127.0.0.1:0\n[store]\naddress = 0.0.0.0:80\n\
        [peers]\nseeds = 10.0.0.1:7100, here\n\
        [limits]\nmax_body_bytes = 0\nmax_header_bytes = 1k\nring_capacity = 1\n\
        drain_timeout_ms = -1\n\
        [policy]\nname = clever\nseed = x\n[log]\nlevel = verbose\n";
    unknown_keys_and_sections: &format!("{VALID}color = blue\n[extra]\nkey = 1\n");
    malformed_lines: &format!("stray = 1\nno separator\n[open\n{VALID}key: value\npath = C:\\x\n");
    duplicate_keys_and_sections: &format!("{VALID}address = 127.0.0.1:7301\n[node]\nentry = 127.0.0.1:1\n");
    duplicate_address: &VALID.replace("7300", "7000");
}

#[test]
fn valid_settings_are_read() {
    let cfg = Settings::parse("node.ini", VALID).unwrap();
    assert_eq!((cfg.region.as_str(), cfg.peer.port()), ("Suðvestur", 7100));
    assert_eq!(cfg, Settings::parse("node.ini", &cfg.to_ini()).unwrap());
}

/// A share table with another number of shards would be refused by all nodes.
#[test]
fn number_of_shards_is_checked() {
    let required = "[node]\nname = a\ncallers = 127.0.0.1:7000\npeer = 127.0.0.1:7100\n\
        ready = 127.0.0.1:7200\ncontrol = 127.0.0.1:7300\nregion = r\nzone = z\n\
        [target]\naddress = 127.0.0.1:7400\nservice = s\n[store]\naddress = 127.0.0.1:7500\n";
    let shards = |text: &str| {
        let text = format!("{required}[quota]\nshards = {text}\n");
        MeshSettings::parse("node.ini", &text).map(|it| it.quota_shards)
    };
    assert_eq!(MeshSettings::parse("node.ini", required).unwrap().quota_shards, 8);
    assert_eq!((shards("1").unwrap(), shards("256").unwrap()), (1, 256));
    for refused in ["0", "257", "-1", "many"] {
        let err = shards(refused).unwrap_err().to_string();
        assert!(err.contains("a number from 1 to 256"), "{err}");
    }
}

#[test]
fn latin1_is_rejected_with_its_line() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings-latin1.ini");
    std::fs::write(&path, b"[node]\nregion = Su\xf0vestur\n").unwrap();
    let err = Settings::load(&path).unwrap_err().to_string();
    let err = err.replace(&path.display().to_string(), "node.ini");
    insta::assert_snapshot!("latin1_is_rejected_with_its_line", err);
}

#[test]
fn error_for_absent_file_contains_its_path() {
    let err = Settings::load(Path::new("/nonexistent/node.ini")).unwrap_err();
    assert!(matches!(err, SettingsError::Read { .. }), "{err}");
    assert!(err.to_string().contains("/nonexistent/node.ini"));
}

#[test]
fn a_memory_that_is_too_small_is_a_fault_with_its_key() {
    let required = "[node]\nname = a\ncallers = 127.0.0.1:1\npeer = 127.0.0.1:2\n\
        ready = 127.0.0.1:3\ncontrol = 127.0.0.1:4\nregion = r\nzone = z\n\
        [target]\naddress = 127.0.0.1:5\nservice = s\n[store]\naddress = 127.0.0.1:6\n";
    let parse = |mb: u32| {
        let text = format!("{required}[bounds]\nmemory_mb = {mb}\n");
        MeshSettings::parse("node.ini", &text).map(|it| it.memory_bytes)
    };
    assert_eq!(parse(512).unwrap(), Some(512_000_000));
    let Err(SettingsError::Invalid(faults)) = parse(8) else { panic!("8 MB should be refused") };
    assert!(faults.to_string().contains("memory_mb"), "{faults}");
}
