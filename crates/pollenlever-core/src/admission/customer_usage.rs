use std::collections::BTreeMap;
use std::time::Duration;

use super::decayed::Decayed;
use crate::Timestamp;
use crate::config::Importance;
use crate::id::CustomerId;

/// Usage below which a customer is forgotten.
const NEGLIGIBLE: f64 = 0.01;
/// Customers above which negligible ones are forgotten.
const MAX_CUSTOMERS: usize = 1024;

/// Runs that customers started lately, by importance.
#[derive(Debug)]
pub(super) struct CustomerUsage {
    memory: Duration,
    runs: BTreeMap<(Importance, CustomerId), Decayed>,
}

impl CustomerUsage {
    pub(super) fn new(memory: Duration) -> CustomerUsage {
        CustomerUsage { memory, runs: BTreeMap::new() }
    }

    pub(super) fn add(&mut self, now: Timestamp, importance: Importance, customer: &CustomerId) {
        let memory = self.memory;
        if self.runs.len() >= MAX_CUSTOMERS {
            self.runs.retain(|_, it| it.get(now, memory) > NEGLIGIBLE);
        }
        self.runs.entry((importance, customer.clone())).or_default().add(now, memory, 1.0);
    }

    pub(super) fn get(&self, now: Timestamp, importance: Importance, customer: &CustomerId) -> f64 {
        let found = self.runs.get(&(importance, customer.clone()));
        found.map_or(0.0, |it| it.get(now, self.memory))
    }
}
