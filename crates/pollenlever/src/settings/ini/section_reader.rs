use super::document::quoted;
use super::{Document, Expected, Faults, Section};

/// Reads one section key by key and reports what is wrong with it.
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
    end_line: usize,
    known: Vec<&'static str>,
    faults: &'a mut Faults,
}

impl<'a> SectionReader<'a> {
    /// Reads the section `name` of `doc`; it may be absent.
    pub fn new(doc: &'a Document, name: &'a str, faults: &'a mut Faults) -> SectionReader<'a> {
        let section = doc.section(name);
        SectionReader { name, section, end_line: doc.lines.max(1), known: Vec::new(), faults }
    }

    /// Reads `section`.
    pub fn of(section: &'a Section, faults: &'a mut Faults) -> SectionReader<'a> {
        let (name, end_line) = (section.name.as_str(), section.line);
        SectionReader { name, section: Some(section), end_line, known: Vec::new(), faults }
    }

    /// Reads a key that must be there.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        let found = self.optional(key, &parse);
        if found.is_none() && self.section.is_none_or(|it| it.entry(key).is_none()) {
            let allowed = parse("").err().unwrap_or_else(|| Expected::from("a value"));
            self.fault(key, "nothing", allowed);
        }
        found
    }

    /// Reads a key that may be absent.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        self.known.push(key);
        let entry = self.section.and_then(|it| it.entry(key))?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(allowed) => {
                self.fault(key, quoted(&entry.value), allowed);
                None
            }
        }
    }

    /// Reports a fault of `key`, at its line or else at the line of the section.
    pub fn fault(&mut self, key: &str, found: impl Into<String>, allowed: impl Into<Expected>) {
        let place = format!("[{}] {key}", self.name);
        self.faults.push(self.line_of(key), place, found, allowed);
    }

    /// Reports every key that was not asked for.
    pub fn finish(self) {
        let Some(section) = self.section else { return };
        for entry in section.entries.iter().filter(|it| !self.known.contains(&it.key.as_str())) {
            let place = format!("[{}] {}", self.name, entry.key);
            let allowed = format!("the keys {}", self.known.join(", "));
            self.faults.push(entry.line, place, "an unknown key", allowed);
        }
    }

    fn line_of(&self, key: &str) -> usize {
        let Some(section) = self.section else { return self.end_line };
        section.entry(key).map_or(section.line, |it| it.line)
    }
}
