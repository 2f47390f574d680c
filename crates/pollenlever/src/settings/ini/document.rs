use std::collections::HashMap;

use ini::{Ini, ParseOption};

use super::{Entry, Faults, Section};

const ALLOWED_ENCODING: &str =
    "UTF-8; convert the file, for example with `iconv -f latin1 -t utf-8`";
const ALLOWED_LINES: &str =
    "`[section]`, `key = value`, a comment that starts with ; or #, or nothing";

/// A parsed INI file that keeps the line number of every section and entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections in file order.
    pub sections: Vec<Section>,
    /// Number of lines in the file.
    pub lines: usize,
}

impl Document {
    /// Decodes the bytes of a file as UTF-8.
    ///
    /// ```
    /// use pollenlever::settings::ini::Document;
    /// assert_eq!(Document::decode("node.ini", "ð".as_bytes()), Ok("ð"));
    /// assert!(Document::decode("node.ini", b"\xf0").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// One fault that names the first byte that is not valid UTF-8 and its line.
    pub fn decode<'a>(file: &str, bytes: &'a [u8]) -> Result<&'a str, Faults> {
        std::str::from_utf8(bytes).map_err(|err| {
            let valid_prefix = &bytes[..err.valid_up_to()];
            let line = valid_prefix.iter().filter(|it| **it == b'\n').count() + 1;
            let mut faults = Faults::new(file);
            let found = format!("byte 0x{:02x}", bytes[err.valid_up_to()]);
            faults.push(line, "encoding", found, ALLOWED_ENCODING);
            faults
        })
    }

    /// Parses `text`. Malformed lines are reported in `faults` and skipped; duplicate sections and
    /// keys are reported but kept.
    ///
    /// ```
    /// use pollenlever::settings::ini::{Document, Faults};
    /// let mut faults = Faults::new("node.ini");
    /// let doc = Document::parse("[node]\nzone = veneto-a\nstray", &mut faults);
    /// assert_eq!(doc.section("node").unwrap().entry("zone").unwrap().line, 2);
    /// assert_eq!(faults.list()[0].line, 3);
    /// ```
    pub fn parse(text: &str, faults: &mut Faults) -> Document {
        let text = text.strip_prefix('\u{feff}').unwrap_or(text);
        let mut sections = Vec::new();
        let mut accepted_text = String::with_capacity(text.len());
        for (index, line) in text.lines().enumerate() {
            if let Some(line) = read_line(&mut sections, index + 1, line.trim(), faults) {
                accepted_text.push_str(line);
            }
            accepted_text.push('\n');
        }
        fill_values(&mut sections, &accepted_text, faults);
        report_duplicates(&sections, faults);
        Document { sections, lines: text.lines().count() }
    }

    /// Returns the first section with this name.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|it| it.name == name)
    }
}

/// Records the section or entry on a trimmed line. Returns the line if it goes to the INI parser,
/// `None` if it is empty, a comment or malformed.
fn read_line<'a>(
    sections: &mut Vec<Section>,
    number: usize,
    line: &'a str,
    faults: &mut Faults,
) -> Option<&'a str> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return None;
    }
    if let Some(name) = section_name(line) {
        sections.push(Section { name, line: number, entries: Vec::new() });
        return Some(line);
    }
    let Some(key) = entry_key(line) else {
        faults.push(number, "line", quote_truncated(line), ALLOWED_LINES);
        return None;
    };
    let Some(section) = sections.last_mut() else {
        faults.push(number, key, "a key before the first section", "keys below a `[section]`");
        return None;
    };
    section.entries.push(Entry { key: key.to_owned(), value: String::new(), line: number });
    Some(line)
}

/// Returns the name between the brackets with runs of spaces collapsed, or `None` if the line is no
/// valid section header.
fn section_name(line: &str) -> Option<String> {
    let inner = line.strip_prefix('[')?.strip_suffix(']')?;
    let name = inner.split_whitespace().collect::<Vec<_>>().join(" ");
    let is_special = |it: char| "[]\\".contains(it) || it.is_control();
    let is_valid = !name.is_empty() && !name.contains(is_special);
    is_valid.then_some(name)
}

/// Returns the key of an entry, or `None` if the line is not `key = value` or contains characters
/// that the INI parser would interpret in another way.
fn entry_key(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    let is_special = |it: char| it == '\\' || (it.is_control() && it != '\t');
    let is_valid = !key.trim().is_empty() && !key.contains(':') && !line.contains(is_special);
    (is_valid && !line.starts_with('[')).then_some(key.trim())
}

/// Fills in the values from the INI parser, which returns sections and entries in file order.
fn fill_values(sections: &mut [Section], text: &str, faults: &mut Faults) {
    let options =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = match Ini::load_from_str_opt(text, options) {
        Ok(parsed) => parsed,
        Err(err) => {
            faults.push(err.line, "line", err.msg.to_string(), ALLOWED_LINES);
            return;
        }
    };
    let named_sections = parsed.iter().filter(|(name, _)| name.is_some());
    for (section, (_, properties)) in sections.iter_mut().zip(named_sections) {
        for (entry, (_, value)) in section.entries.iter_mut().zip(properties.iter()) {
            value.clone_into(&mut entry.value);
        }
    }
}

fn report_duplicates(sections: &[Section], faults: &mut Faults) {
    let mut sections_seen = HashMap::new();
    for section in sections {
        let location = format!("[{}]", section.name);
        let first = *sections_seen.entry(&section.name).or_insert(section.line);
        if first != section.line {
            let found = format!("a duplicate section, first defined on line {first}");
            faults.push(section.line, location, found, "one");
        }
        report_duplicate_keys(section, faults);
    }
}

fn report_duplicate_keys(section: &Section, faults: &mut Faults) {
    let mut keys_seen = HashMap::new();
    for entry in &section.entries {
        let first = *keys_seen.entry(&entry.key).or_insert(entry.line);
        if first != entry.line {
            let location = format!("[{}] {}", section.name, entry.key);
            let found = format!("a duplicate key, first defined on line {first}");
            faults.push(entry.line, location, found, "one");
        }
    }
}

/// Quotes `text`, truncated so that a fault fits on one line of output.
pub(super) fn quote_truncated(text: &str) -> String {
    const MAX_CHARS: usize = 60;
    if text.chars().count() <= MAX_CHARS {
        return format!("{text:?}");
    }
    let truncated: String = text.chars().take(MAX_CHARS).collect();
    format!("{truncated:?}…")
}
