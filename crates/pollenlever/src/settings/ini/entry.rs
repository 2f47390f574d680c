/// One `key = value` line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Entry {
    /// Key, trimmed.
    pub key: String,
    /// Value, trimmed; may be empty.
    pub value: String,
    /// Line number, counted from 1.
    pub line: usize,
}
