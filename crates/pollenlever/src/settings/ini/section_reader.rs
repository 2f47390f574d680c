use super::document::quote_truncated;
use super::{Document, Expected, Faults, Section};

/// Reads one section key by key and reports its faults.
///
/// ```
/// use pollenlever::settings::ini::{Document, Faults, SectionReader, values};
/// let mut faults = Faults::new("node.ini");
/// let doc = Document::parse("[limits]\nring_capacity = 64\ncolour = blue", &mut faults);
/// let mut reader = SectionReader::new(&doc, "limits", &mut faults);
/// assert_eq!(reader.optional("ring_capacity", values::number(16..=128)), Some(64));
/// reader.finish();
/// assert_eq!(faults.list()[0].found, "an unknown key");
/// ```
#[derive(Debug)]
pub struct SectionReader<'a> {
    name: &'a str,
    section: Option<&'a Section>,
    /// Line that faults are reported at if the section is absent.
    fallback_line: usize,
    /// Keys read so far; [`SectionReader::finish`] reports all others.
    known_keys: Vec<&'static str>,
    faults: &'a mut Faults,
}

impl<'a> SectionReader<'a> {
    /// Creates a reader for the section `name` of `doc`, which may be absent.
    pub fn new(doc: &'a Document, name: &'a str, faults: &'a mut Faults) -> SectionReader<'a> {
        let section = doc.section(name);
        SectionReader {
            name,
            section,
            fallback_line: doc.lines.max(1),
            known_keys: Vec::new(),
            faults,
        }
    }

    /// Creates a reader for `section`.
    pub fn from_section(section: &'a Section, faults: &'a mut Faults) -> SectionReader<'a> {
        let (name, fallback_line) = (section.name.as_str(), section.line);
        SectionReader {
            name,
            section: Some(section),
            fallback_line,
            known_keys: Vec::new(),
            faults,
        }
    }

    /// Reads a mandatory key. Returns `None` and reports a fault if it is absent or invalid.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        let found = self.optional(key, &parse);
        if found.is_none() && self.section.is_none_or(|it| it.entry(key).is_none()) {
            let allowed = parse("").err().unwrap_or_else(|| Expected::from("a value"));
            self.report_fault(key, "nothing", allowed);
        }
        found
    }

    /// Reads an optional key. Returns `None` if it is absent, or invalid, which is reported.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        self.known_keys.push(key);
        let entry = self.section.and_then(|it| it.entry(key))?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(allowed) => {
                self.report_fault(key, quote_truncated(&entry.value), allowed);
                None
            }
        }
    }

    /// Reports a fault of `key` at its line, or at the line of the section if the key is absent.
    pub fn report_fault(
        &mut self,
        key: &str,
        found: impl Into<String>,
        allowed: impl Into<Expected>,
    ) {
        let location = format!("[{}] {key}", self.name);
        self.faults.push(self.line_of(key), location, found, allowed);
    }

    /// Reports each key of the section that was never read, since it is unknown.
    pub fn finish(self) {
        let Some(section) = self.section else { return };
        for entry in section.entries.iter().filter(|it| !self.known_keys.contains(&it.key.as_str()))
        {
            let location = format!("[{}] {}", self.name, entry.key);
            let allowed = format!("the keys {}", self.known_keys.join(", "));
            self.faults.push(entry.line, location, "an unknown key", allowed);
        }
    }

    fn line_of(&self, key: &str) -> usize {
        let Some(section) = self.section else { return self.fallback_line };
        section.entry(key).map_or(section.line, |it| it.line)
    }
}
