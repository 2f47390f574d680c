use super::Entry;

/// A `[name]` line and the entries below it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// Line of the name, counted from 1.
    pub line: usize,
    /// Entries in order of lines.
    pub entries: Vec<Entry>,
}

impl Section {
    /// The first entry with this key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|it| it.key == key)
    }
}
