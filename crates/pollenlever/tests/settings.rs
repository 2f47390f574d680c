//! Settings: every fault at once, each with file, line, key, what was found and what is allowed.

use std::path::{Path, PathBuf};

use pollenlever::settings::{Settings, SettingsError};

const GOOD: &str = "\
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

/// Declares a test for each case: the text of a file, whose faults are kept as a snapshot.
macro_rules! faults {
    ($($name:ident: $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let err = Settings::parse("node.ini", $text).unwrap_err();
            insta::assert_snapshot!(stringify!($name), err);
        }
    )*};
}

faults! {
    empty_file: "";
    every_value_wrong: "\
        [node]\nentry = localhost:7000\npeer = 0.0.0.0:7100\nadvertise = 10.0.0.1\n\
        region = two words\nzone =\n\
        [target]\naddress = 127.0.0.1:0\n[store]\naddress = 0.0.0.0:80\n\
        [peers]\nseeds = 10.0.0.1:7100, here\n\
        [limits]\nmax_body_bytes = 0\nmax_header_bytes = 1k\nring_capacity = 1\n\
        drain_timeout_ms = -1\n\
        [policy]\nname = clever\nseed = x\n[log]\nlevel = verbose\n";
    unknown_names: &format!("{GOOD}color = blue\n[extra]\nkey = 1\n");
    broken_lines: &format!("stray = 1\nno separator\n[open\n{GOOD}key: value\npath = C:\\x\n");
    second_values: &format!("{GOOD}address = 127.0.0.1:7301\n[node]\nentry = 127.0.0.1:1\n");
    shared_address: &GOOD.replace("7300", "7000");
}

#[test]
fn good_settings_are_read() {
    let cfg = Settings::parse("node.ini", GOOD).unwrap();
    assert_eq!((cfg.region.as_str(), cfg.peer.port()), ("Suðvestur", 7100));
    assert_eq!(cfg, Settings::parse("node.ini", &cfg.to_ini()).unwrap());
}

#[test]
fn latin1_is_refused_with_its_line() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("settings-latin1.ini");
    std::fs::write(&path, b"[node]\nregion = Su\xf0vestur\n").unwrap();
    let err = Settings::load(&path).unwrap_err().to_string();
    let err = err.replace(&path.display().to_string(), "node.ini");
    insta::assert_snapshot!("latin1_is_refused_with_its_line", err);
}

#[test]
fn absent_file_is_named() {
    let err = Settings::load(Path::new("/nonexistent/node.ini")).unwrap_err();
    assert!(matches!(err, SettingsError::Read { .. }), "{err}");
    assert!(err.to_string().contains("/nonexistent/node.ini"));
}
