use super::DepartedTarget;

/// What a node has to do next about its object in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreStep {
    /// Read the object that an earlier process may have written.
    Read,
    /// Write this departure.
    Write(DepartedTarget),
    /// Delete the object, because another target is in use.
    Delete,
    /// Nothing: the store has what it should have.
    Wait,
}

/// What a node knows of the departure that the store has of its target.
///
/// Only departures are stored: a node whose target has not left makes one call, at its start.
///
/// ```
/// use pollenlever_core::mesh::{DepartedTarget, StoreStep, StoredDeparture};
/// let departed = DepartedTarget { instance: "i-1".into(), started: 5 };
/// let mut stored = StoredDeparture::default();
/// assert_eq!(stored.next_step(Some(&departed)), StoreStep::Read);
/// stored.record_found(false, None);
/// assert_eq!(stored.next_step(Some(&departed)), StoreStep::Write(departed.clone()));
/// stored.record_found(true, Some(departed.clone()));
/// assert_eq!(stored.next_step(Some(&departed)), StoreStep::Wait);
/// assert_eq!(stored.next_step(None), StoreStep::Delete);
/// ```
#[derive(Debug, Default)]
pub struct StoredDeparture {
    is_read: bool,
    has_object: bool,
    departed: Option<DepartedTarget>,
}

impl StoredDeparture {
    /// What has to be done if `departed` is the target that has left; `None` while another is in use.
    pub fn next_step(&self, departed: Option<&DepartedTarget>) -> StoreStep {
        match departed {
            _ if !self.is_read => StoreStep::Read,
            Some(departed) if self.departed.as_ref() == Some(departed) => StoreStep::Wait,
            Some(departed) => StoreStep::Write(departed.clone()),
            None if self.has_object => StoreStep::Delete,
            None => StoreStep::Wait,
        }
    }

    /// Records what the store has: whether there is an object, and the departure in it if it is one of
    /// this node.
    pub fn record_found(&mut self, has_object: bool, departed: Option<DepartedTarget>) {
        self.is_read = true;
        self.has_object = has_object;
        self.departed = departed;
    }

    /// Records that the store came back from an older copy, which may lack the departure. Returns whether
    /// the store had one.
    pub fn forget(&mut self) -> bool {
        self.departed.take().is_some()
    }

    /// The departure that the store has, as far as is known.
    pub fn departed(&self) -> Option<&DepartedTarget> {
        self.departed.as_ref()
    }
}
