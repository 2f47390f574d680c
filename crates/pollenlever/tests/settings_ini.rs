//! INI documents: values stay with their lines, whatever else the text holds.

use pollenlever::settings::ini::{Document, Faults};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Section, key, value and line of every entry.
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

/// Declares a test for each case: a text and the entries read from it.
macro_rules! reads {
    ($($name:ident: $text:expr => $entries:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(entries($text), $entries);
        }
    )*};
}

reads! {
    indented_comment_is_left_out: "[a]\n  ; x\nb = 1\n" => [entry("a", "b", "1", 3)];
    comment_sign_in_value_is_kept: "[a]\nb = 1 ; 2\n" => [entry("a", "b", "1 ; 2", 2)];
    windows_line_ends: "[a]\r\nb = 1\r\n" => [entry("a", "b", "1", 2)];
    byte_order_mark: "\u{feff}[a]\nb = 1" => [entry("a", "b", "1", 2)];
    line_of_odd_spaces: "\u{a0}\n[a]\nb = 1\n" => [entry("a", "b", "1", 3)];
    carriage_return_within_a_line_is_refused: "[a]\nb = 1\rc = 2\nd = 3\n" => [entry("a", "d", "3", 3)];
    equal_sign_in_value: "[a]\nb = c = d\n" => [entry("a", "b", "c = d", 2)];
    empty_value: "[a]\nb =\nc = 1\n" => [entry("a", "b", "", 2), entry("a", "c", "1", 3)];
    quotes_are_plain_text: "[a]\nb = \"x\nc = 'y'\n" => [entry("a", "b", "\"x", 2), entry("a", "c", "'y'", 3)];
}

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Every value is what stands after the first `=` of its own line.
    #[test]
    fn values_stay_with_their_lines(text in "(\\[a\\]\n)?([a-c =:;#\\[\\]\"'\r\t\n\u{a0}\u{c}\\\\]|\\[b\\]\n|c = 1\n){0,40}") {
        let lines: Vec<&str> = text.lines().collect();
        for (_, key, value, line) in entries(&text) {
            let (found_key, found_value) = lines[line - 1].split_once('=').unwrap();
            prop_assert_eq!(key, found_key.trim());
            prop_assert_eq!(value, found_value.trim());
        }
    }
}
