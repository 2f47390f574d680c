use super::Entry;

/// A `[name]` header and the entries below it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// Line number of the header, counted from 1.
    pub line: usize,
    /// Entries in file order.
    pub entries: Vec<Entry>,
}

impl Section {
    /// Returns the first entry with this key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|it| it.key == key)
    }
}
