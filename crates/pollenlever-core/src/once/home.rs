use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use super::{Handover, HandoverRecord, HomeRecord, HomeTable, KeyMint, RecordState};
use crate::Timestamp;
use crate::id::NodeId;

/// Maximum number of records in one part of a handover.
const MAX_PART_RECORDS: usize = 256;
/// No further record is added to a part of a handover that holds this many bytes of answers.
const MAX_PART_BYTES: usize = 256 << 10;

/// Keys and records of one home: the node itself, or a home that handed its records over to it.
#[derive(Debug)]
pub(crate) struct Home {
    pub(crate) mint: KeyMint,
    pub(crate) table: HomeTable,
    /// Time on the home's clock when this node's clock showed `local_time`.
    home_time: Timestamp,
    local_time: Timestamp,
}

impl Home {
    /// The home of the keys that this node generates.
    pub(crate) fn new(me: NodeId, secret: u64) -> Home {
        Home {
            mint: KeyMint::new(me, secret),
            table: HomeTable::default(),
            home_time: Timestamp::ZERO,
            local_time: Timestamp::ZERO,
        }
    }

    /// A home whose records are received by handover, `first` being the first part.
    pub(crate) fn inherited(now: Timestamp, first: &Handover) -> Home {
        Home { home_time: first.clock, local_time: now, ..Home::new(first.home, first.secret) }
    }

    /// Current time on the home's clock.
    pub(crate) fn clock(&self, now: Timestamp) -> Timestamp {
        self.home_time + now.saturating_sub(self.local_time)
    }

    /// Drops expired records of ended requests; running ones are checked again after `grace`.
    pub(crate) fn expire(&mut self, now: Timestamp, grace: Duration) {
        let clock = self.clock(now);
        self.table.expire(clock, clock + grace);
    }

    /// Whether all keys of an inherited home have expired and no record is left.
    pub(crate) fn has_expired(&self, now: Timestamp, retention: Duration) -> bool {
        self.clock(now) > self.home_time + retention && self.table.has_no_records()
    }

    /// Splits the records into handover parts. Running records are left out, so end them first.
    pub(crate) fn to_parts(&self, now: Timestamp) -> VecDeque<(Handover, Bytes)> {
        let mut parts = VecDeque::new();
        let mut records = self.table.iter_ended().peekable();
        while parts.is_empty() || records.peek().is_some() {
            let mut part_records = Vec::new();
            let mut bodies = Vec::new();
            while part_records.len() < MAX_PART_RECORDS && bodies.len() < MAX_PART_BYTES {
                let Some((record, body)) = records.next() else { break };
                part_records.push(record);
                bodies.extend_from_slice(&body);
            }
            let part = Handover {
                home: self.mint.home(),
                part: parts.len() as u32,
                last: records.peek().is_none(),
                clock: self.clock(now),
                secret: self.mint.secret(),
                records: part_records,
                watermarks_ms: self.table.watermarks(),
            };
            parts.push_back((part, Bytes::from(bodies)));
        }
        parts
    }

    /// Adds the records of one part. Returns `false`, adding nothing, if the length of `bodies`
    /// differs from the sum of the declared lengths.
    pub(crate) fn import_part(&mut self, part: Handover, mut bodies: Bytes) -> bool {
        let declared: u64 = part.records.iter().map(|it| u64::from(it.body_len)).sum();
        if declared != bodies.len() as u64 {
            return false;
        }
        for record in part.records {
            let body = bodies.split_to(record.body_len as usize);
            self.table.insert(record.key, home_record(record, body));
        }
        self.table.raise_watermarks(part.watermarks_ms);
        true
    }
}

fn home_record(record: HandoverRecord, body: Bytes) -> HomeRecord {
    HomeRecord {
        service: record.service,
        digest: record.digest,
        state: RecordState::Ended(record.answer, body),
        waiters: Vec::new(),
        expires: record.expires,
    }
}
