/// A `key = value` line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, trimmed.
    pub value: String,
    /// Line, counted from 1.
    pub line: usize,
}
