use std::collections::HashMap;

use ini::{Ini, ParseOption};

use super::{Entry, Faults, Section};

const UTF8_ALLOWED: &str = "UTF-8; convert the file, for example with `iconv -f latin1 -t utf-8`";
const LINE_ALLOWED: &str =
    "`[section]`, `key = value`, a comment that starts with ; or #, or nothing";

/// An INI file: its sections with the lines on which everything stands.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Sections in order of lines.
    pub sections: Vec<Section>,
    /// Number of lines in the file.
    pub lines: usize,
}

impl Document {
    /// Decodes the bytes of a file.
    ///
    /// ```
    /// use pollenlever::settings::ini::Document;
    /// assert_eq!(Document::decode("node.ini", "ð".as_bytes()), Ok("ð"));
    /// assert!(Document::decode("node.ini", b"\xf0").is_err());
    /// ```
    ///
    /// # Errors
    ///
    /// One fault that names the first byte that is not UTF-8.
    pub fn decode<'a>(file: &str, bytes: &'a [u8]) -> Result<&'a str, Faults> {
        std::str::from_utf8(bytes).map_err(|err| {
            let valid = &bytes[..err.valid_up_to()];
            let line = valid.iter().filter(|it| **it == b'\n').count() + 1;
            let mut faults = Faults::new(file);
            let found = format!("byte 0x{:02x}", bytes[err.valid_up_to()]);
            faults.push(line, "encoding", found, UTF8_ALLOWED);
            faults
        })
    }

    /// Reads `text`; lines of a wrong form go to `faults` and are left out.
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
        let mut kept = String::with_capacity(text.len());
        for (index, line) in text.lines().enumerate() {
            if let Some(line) = read_line(&mut sections, index + 1, line.trim(), faults) {
                kept.push_str(line);
            }
            kept.push('\n');
        }
        fill_values(&mut sections, &kept, faults);
        report_duplicates(&sections, faults);
        Document { sections, lines: text.lines().count() }
    }

    /// The first section with this name.
    pub fn section(&self, name: &str) -> Option<&Section> {
        self.sections.iter().find(|it| it.name == name)
    }
}

/// Notes what stands on a trimmed line; the line itself if the parser is to see it.
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
        faults.push(number, "line", quoted(line), LINE_ALLOWED);
        return None;
    };
    let Some(section) = sections.last_mut() else {
        faults.push(number, key, "a key above the first section", "keys below a `[section]`");
        return None;
    };
    section.entries.push(Entry { key: key.to_owned(), value: String::new(), line: number });
    Some(line)
}

/// The name between brackets, with single spaces.
fn section_name(line: &str) -> Option<String> {
    let inner = line.strip_prefix('[')?.strip_suffix(']')?;
    let name = inner.split_whitespace().collect::<Vec<_>>().join(" ");
    let special = |it: char| "[]\\".contains(it) || it.is_control();
    let plain = !name.is_empty() && !name.contains(special);
    plain.then_some(name)
}

/// The key of an entry, unless the line holds what the parser would read in another way.
fn entry_key(line: &str) -> Option<&str> {
    let (key, _) = line.split_once('=')?;
    let special = |it: char| it == '\\' || (it.is_control() && it != '\t');
    let plain = !key.trim().is_empty() && !key.contains(':') && !line.contains(special);
    (plain && !line.starts_with('[')).then_some(key.trim())
}

/// Takes the values from the parser, which keeps the order of sections and entries.
fn fill_values(sections: &mut [Section], text: &str, faults: &mut Faults) {
    let plain =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = match Ini::load_from_str_opt(text, plain) {
        Ok(parsed) => parsed,
        Err(err) => {
            faults.push(err.line, "line", err.msg.to_string(), LINE_ALLOWED);
            return;
        }
    };
    let named = parsed.iter().filter(|(name, _)| name.is_some());
    for (section, (_, properties)) in sections.iter_mut().zip(named) {
        for (entry, (_, value)) in section.entries.iter_mut().zip(properties.iter()) {
            value.clone_into(&mut entry.value);
        }
    }
}

fn report_duplicates(sections: &[Section], faults: &mut Faults) {
    let mut sections_seen = HashMap::new();
    for section in sections {
        let place = format!("[{}]", section.name);
        let first = *sections_seen.entry(&section.name).or_insert(section.line);
        if first != section.line {
            let found = format!("a second section, first on line {first}");
            faults.push(section.line, place, found, "one");
        }
        report_duplicate_keys(section, faults);
    }
}

fn report_duplicate_keys(section: &Section, faults: &mut Faults) {
    let mut keys_seen = HashMap::new();
    for entry in &section.entries {
        let first = *keys_seen.entry(&entry.key).or_insert(entry.line);
        if first != entry.line {
            let place = format!("[{}] {}", section.name, entry.key);
            let found = format!("a second value, first on line {first}");
            faults.push(entry.line, place, found, "one");
        }
    }
}

/// Quotes what was found, cut to a length that fits a line of output.
pub(super) fn quoted(text: &str) -> String {
    const LIMIT: usize = 60;
    if text.chars().count() <= LIMIT {
        return format!("{text:?}");
    }
    let cut: String = text.chars().take(LIMIT).collect();
    format!("{cut:?}…")
}
