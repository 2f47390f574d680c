use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use super::{HandedRecord, HomeRecord, RecordState};
use crate::Timestamp;
use crate::id::{RequestKey, ServiceName};

/// The keyed requests whose home is this node.
///
/// A record that is dropped raises the watermark of its service: keys minted at or before it that
/// have no record are refused, so a longer retention time never revives a dropped key.
#[derive(Debug, Default)]
pub(crate) struct HomeTable {
    records: BTreeMap<RequestKey, HomeRecord>,
    expiries: BTreeSet<(Timestamp, RequestKey)>,
    dropped_ms: BTreeMap<ServiceName, u64>,
}

impl HomeTable {
    /// The record of a key.
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut HomeRecord> {
        self.records.get_mut(&key)
    }

    /// Adds the record of a key that has none.
    pub(crate) fn insert(&mut self, key: RequestKey, record: HomeRecord) {
        self.expiries.insert((record.expires, key));
        self.records.insert(key, record);
    }

    /// Whether there is nothing to hand over.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty() && self.dropped_ms.is_empty()
    }

    /// Whether there are no records.
    pub(crate) fn is_without_records(&self) -> bool {
        self.records.is_empty()
    }

    /// Ended records with the bodies of their answers.
    pub(crate) fn iter_ended(&self) -> impl Iterator<Item = (HandedRecord, Bytes)> {
        self.records.iter().filter_map(|(key, record)| {
            let RecordState::Ended(answer, body) = &record.state else { return None };
            let handed = HandedRecord {
                key: *key,
                service: record.service.clone(),
                digest: record.digest,
                answer: answer.clone(),
                body_len: body.len() as u32,
                expires: record.expires,
            };
            Some((handed, body.clone()))
        })
    }

    /// The watermarks of dropped records.
    pub(crate) fn dropped(&self) -> Vec<(ServiceName, u64)> {
        self.dropped_ms.iter().map(|(service, minted_ms)| (service.clone(), *minted_ms)).collect()
    }

    /// Raises the watermarks of dropped records.
    pub(crate) fn raise_dropped(&mut self, dropped_ms: Vec<(ServiceName, u64)>) {
        for (service, minted_ms) in dropped_ms {
            let watermark = self.dropped_ms.entry(service).or_default();
            *watermark = minted_ms.max(*watermark);
        }
    }

    /// Whether a record as old as the key was dropped for the service.
    pub(crate) fn is_dropped(&self, service: &ServiceName, key: RequestKey) -> bool {
        self.dropped_ms.get(service).is_some_and(|it| key.minted_ms <= *it)
    }

    /// Drops ended records that have expired.
    pub(crate) fn expire(&mut self, now: Timestamp, retry_at: Timestamp) {
        while let Some(&(at, key)) = self.expiries.first() {
            if at > now {
                break;
            }
            self.expiries.pop_first();
            self.drop_ended(key, retry_at);
        }
    }

    fn drop_ended(&mut self, key: RequestKey, retry_at: Timestamp) {
        let Some(record) = self.records.get(&key) else { return };
        if matches!(record.state, RecordState::Running) {
            self.expiries.insert((retry_at, key));
            return;
        }
        let dropped = vec![(record.service.clone(), key.minted_ms)];
        self.raise_dropped(dropped);
        self.records.remove(&key);
    }
}
