use crate::config::Importance;

/// Class of a request; requests of a higher class run before those of a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Class {
    pub(super) importance: Importance,
    /// Number of calls above the request in its chain.
    pub(super) depth: u8,
}

impl Class {
    /// Whether requests of this class are the first ones of their chains.
    pub(super) fn is_new_chain(self) -> bool {
        self.depth == 0
    }
}
