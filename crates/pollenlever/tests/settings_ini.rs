//! INI documents: every value is reported with its own line, whatever else the text contains.

use pollenlever::settings::ini::{Document, Faults};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Returns section, key, value and line of every entry.
fn entries(text: &str) -> Vec<(String, String, String, usize)> {
    let doc = Document::parse(text, &mut Faults::new("any.ini"));
    let mut entries = Vec::new();
    for section in doc.sections {
        for it in section.entries {
            entries.push((section.name.clone(), it.key, it.value, it.line));
        }
    }
    entries
}

fn entry(section: &str, key: &str, value: &str, line: usize) -> (String, String, String, usize) {
    (section.to_owned(), key.to_owned(), value.to_owned(), line)
}

/// Declares one test per case: a text and the entries that must be parsed from it.
macro_rules! parsed_entries {
    ($($name:ident: $text:expr => $entries:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(entries($text), $entries);
        }
    )*};
}

parsed_entries! {
    indented_comment_is_skipped: "[a]\n  ; x\nb = 1\n" => [entry("a", "b", "1", 3)];
    semicolon_in_value_is_kept: "[a]\nb = 1 ; 2\n" => [entry("a", "b", "1 ; 2", 2)];
    windows_line_endings: "[a]\r\nb = 1\r\n" => [entry("a", "b", "1", 2)];
    byte_order_mark: "\u{feff}[a]\nb = 1" => [entry("a", "b", "1", 2)];
    line_of_non_breaking_spaces_is_skipped: "\u{a0}\n[a]\nb = 1\n" => [entry("a", "b", "1", 3)];
    line_with_inner_carriage_return_is_rejected: "[a]\nb = 1\rc = 2\nd = 3\n" => [entry("a", "d", "3", 3)];
    equal_sign_in_value: "[a]\nb = c = d\n" => [entry("a", "b", "c = d", 2)];
    empty_value: "[a]\nb =\nc = 1\n" => [entry("a", "b", "", 2), entry("a", "c", "1", 3)];
    quotes_are_part_of_the_value: "[a]\nb = \"x\nc = 'y'\n" => [entry("a", "b", "\"x", 2), entry("a", "c", "'y'", 3)];
}

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Every value is the text after the first `=` of its own line.
    #[test]
    fn values_come_from_their_own_lines(text in "(\\[a\\]\n)?([a-c =:;#\\[\\]\"'\r\t\n\u{a0}\u{c}\\\\]|\\[b\\]\n|c = 1\n){0,40}") {
        let lines: Vec<&str> = text.lines().collect();
        for (_, key, value, line) in entries(&text) {
            let (found_key, found_value) = lines[line - 1].split_once('=').unwrap();
            prop_assert_eq!(key, found_key.trim());
            prop_assert_eq!(value, found_value.trim());
        }
    }
}
