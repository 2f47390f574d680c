use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::Value;

use super::rate_limit::RateLimit;
use super::{Change, Counters, Faults, ObjectList, StoredObject};

type Objects = BTreeMap<(String, String), StoredObject>;

/// Objects, faults and counters of the store.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) revision: u64,
    pub(crate) counters: Counters,
    pub(crate) faults: Faults,
    objects: Objects,
    stale_objects: Objects,
    stale_revision: u64,
    reads: u64,
    read_limit: RateLimit,
    write_limit: RateLimit,
}

impl Default for State {
    fn default() -> State {
        State {
            revision: 0,
            counters: Counters::default(),
            faults: Faults::default(),
            objects: Objects::new(),
            stale_objects: Objects::new(),
            stale_revision: 0,
            reads: 0,
            read_limit: RateLimit::new(0),
            write_limit: RateLimit::new(0),
        }
    }
}

impl State {
    pub(crate) fn set_faults(&mut self, faults: Faults) {
        self.read_limit = RateLimit::new(faults.reads_per_s);
        self.write_limit = RateLimit::new(faults.writes_per_s);
        if faults.stale_reads && !self.faults.stale_reads {
            self.stale_objects = self.objects.clone();
            self.stale_revision = self.revision;
        }
        self.faults = faults;
    }

    pub(crate) fn admit_read(&mut self) -> bool {
        let admitted = self.read_limit.try_take(Instant::now());
        self.counters.limited += u64::from(!admitted);
        admitted
    }

    pub(crate) fn admit_write(&mut self) -> bool {
        let admitted = self.write_limit.try_take(Instant::now());
        self.counters.limited += u64::from(!admitted);
        admitted
    }

    pub(crate) fn get(&mut self, kind: &str, name: &str) -> Option<StoredObject> {
        let key = (kind.to_owned(), name.to_owned());
        let (objects, _) = self.objects_for_read();
        objects.get(&key).cloned()
    }

    /// Objects of a kind that changed after revision `since`.
    pub(crate) fn list(&mut self, kind: &str, since: u64) -> ObjectList {
        let (objects, revision) = self.objects_for_read();
        let first = (kind.to_owned(), String::new());
        let of_kind = objects.range(first..).take_while(|((it, _), _)| it == kind);
        let changed = of_kind.filter(|(_, it)| it.version > since);
        let objects = changed
            .map(|((_, name), it)| Change {
                name: name.clone(),
                version: it.version,
                value: it.value.clone(),
            })
            .collect();
        ObjectList { revision, objects }
    }

    /// Whether an object of `kind` changed after revision `since`; never uses the stale state.
    pub(crate) fn has_changed(&self, kind: &str, since: u64) -> bool {
        let first = (kind.to_owned(), String::new());
        let mut of_kind = self.objects.range(first..).take_while(|((it, _), _)| it == kind);
        of_kind.any(|(_, it)| it.version > since)
    }

    /// Compare-and-swap: updates an object if its version is `expected` and returns its new
    /// version, else the current object.
    pub(crate) fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Value,
    ) -> Result<u64, StoredObject> {
        let key = (kind.to_owned(), name.to_owned());
        let current = self.objects.get(&key).cloned().unwrap_or_default();
        if current.version != expected {
            self.counters.conflicts += 1;
            return Err(current);
        }
        self.revision += 1;
        let version = self.revision;
        self.objects.insert(key, StoredObject { version, value });
        Ok(version)
    }

    /// Whether this answer must be lost; counts down [`Faults::lose_answers`].
    pub(crate) fn take_lost_answer(&mut self) -> bool {
        let loses = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        loses
    }

    /// Objects and revision for the next read; the stale ones for every other read under
    /// [`Faults::stale_reads`].
    fn objects_for_read(&mut self) -> (&Objects, u64) {
        self.reads += 1;
        if self.faults.stale_reads && self.reads % 2 == 1 {
            (&self.stale_objects, self.stale_revision)
        } else {
            (&self.objects, self.revision)
        }
    }
}
