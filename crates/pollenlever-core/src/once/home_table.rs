use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use super::{HandoverRecord, HomeRecord, RecordState};
use crate::Timestamp;
use crate::id::{RequestKey, ServiceName};

/// Records of the requests with a key of one home, the node that created the keys.
///
/// Dropping a record raises the watermark of its service to the creation time of its key. Keys at or
/// below the watermark that have no record are refused, so a dropped key stays invalid even if the
/// retention time is raised later.
#[derive(Debug, Default)]
pub(crate) struct HomeTable {
    records: BTreeMap<RequestKey, HomeRecord>,
    expiries: BTreeSet<(Timestamp, RequestKey)>,
    watermarks_ms: BTreeMap<ServiceName, u64>,
}

impl HomeTable {
    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut HomeRecord> {
        self.records.get_mut(&key)
    }

    /// Adds a record; the key must not have one yet.
    pub(crate) fn insert(&mut self, key: RequestKey, record: HomeRecord) {
        self.expiries.insert((record.expires, key));
        self.records.insert(key, record);
    }

    /// Whether there is nothing to hand over: neither records nor watermarks.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty() && self.watermarks_ms.is_empty()
    }

    pub(crate) fn has_no_records(&self) -> bool {
        self.records.is_empty()
    }

    /// Records of the requests whose outcome is final, with the bodies of their answers.
    pub(crate) fn iter_ended(&self) -> impl Iterator<Item = (HandoverRecord, Bytes)> {
        self.records.iter().filter_map(|(key, record)| {
            let RecordState::Ended(answer, body) = &record.state else { return None };
            let handover_record = HandoverRecord {
                key: *key,
                service: record.service.clone(),
                digest: record.digest,
                answer: answer.clone(),
                body_len: body.len() as u32,
                expires: record.expires,
            };
            Some((handover_record, body.clone()))
        })
    }

    /// Watermark of each service, in milliseconds by the home's clock.
    pub(crate) fn watermarks(&self) -> Vec<(ServiceName, u64)> {
        self.watermarks_ms
            .iter()
            .map(|(service, watermark_ms)| (service.clone(), *watermark_ms))
            .collect()
    }

    /// Raises watermarks to the given values; never lowers one.
    pub(crate) fn raise_watermarks(&mut self, watermarks_ms: Vec<(ServiceName, u64)>) {
        for (service, watermark_ms) in watermarks_ms {
            let watermark = self.watermarks_ms.entry(service).or_default();
            *watermark = watermark_ms.max(*watermark);
        }
    }

    /// Whether the key is at or below the watermark of the service.
    pub(crate) fn is_dropped(&self, service: &ServiceName, key: RequestKey) -> bool {
        self.watermarks_ms.get(service).is_some_and(|it| key.minted_ms <= *it)
    }

    /// Drops the expired records of ended requests. Those of running requests are checked again at
    /// `recheck_at`.
    pub(crate) fn expire(&mut self, now: Timestamp, recheck_at: Timestamp) {
        while let Some(&(at, key)) = self.expiries.first() {
            if at > now {
                break;
            }
            self.expiries.pop_first();
            self.drop_if_ended(key, recheck_at);
        }
    }

    /// Drops an expired record and raises its service's watermark, or moves its expiry to
    /// `recheck_at` if the request is still running.
    fn drop_if_ended(&mut self, key: RequestKey, recheck_at: Timestamp) {
        let Some(record) = self.records.get(&key) else { return };
        if matches!(record.state, RecordState::Running) {
            self.expiries.insert((recheck_at, key));
            return;
        }
        let dropped = vec![(record.service.clone(), key.minted_ms)];
        self.raise_watermarks(dropped);
        self.records.remove(&key);
    }
}
