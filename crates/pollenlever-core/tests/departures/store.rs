use pollenlever_core::mesh::DepartedTarget;

/// What a call to the store comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    Refused,
    /// The object has another version than the caller says.
    Conflict,
    Done,
}

/// The store's object for one node. Versions begin at 1; 0 means that there is none.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) object: Option<DepartedTarget>,
    pub(crate) version: u64,
    /// Grows each time the store comes back from a copy.
    pub(crate) era: u64,
    pub(crate) refuses: bool,
    copy: Option<DepartedTarget>,
    last_version: u64,
}

impl Store {
    /// Replaces the object if it has the version `expected`.
    pub(crate) fn replace(&mut self, expected: u64, object: Option<DepartedTarget>) -> CallOutcome {
        if self.refuses {
            return CallOutcome::Refused;
        }
        if expected != self.version {
            return CallOutcome::Conflict;
        }
        self.set(object);
        CallOutcome::Done
    }

    pub(crate) fn take_copy(&mut self) {
        self.copy.clone_from(&self.object);
    }

    /// Comes back from the last copy.
    pub(crate) fn restore(&mut self) {
        self.era += 1;
        self.set(self.copy.clone());
    }

    fn set(&mut self, object: Option<DepartedTarget>) {
        self.last_version += 1;
        self.version = if object.is_some() { self.last_version } else { 0 };
        self.object = object;
    }
}
