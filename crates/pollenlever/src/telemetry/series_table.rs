use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use pollenlever_core::id::{KindName, ServiceName};

use super::call_metrics::CallMetrics;
use super::kind_series::KindSeries;

/// Maximum number of request kinds with their own series; all others share one series.
const MAX_KINDS: usize = 2048;
/// Service and kind name of the shared series.
const OTHER: &str = "other";

type Kinds = HashMap<ServiceName, HashMap<KindName, Arc<KindSeries>>>;

/// The series of all request kinds, at most `MAX_KINDS` and the shared one.
#[derive(Debug)]
pub(super) struct SeriesTable {
    metrics: CallMetrics,
    kinds: RwLock<Kinds>,
}

impl SeriesTable {
    /// Creates an empty table.
    pub(super) fn new(metrics: CallMetrics) -> SeriesTable {
        SeriesTable { metrics, kinds: RwLock::default() }
    }

    /// Returns the series of a request kind and creates it at the first use.
    pub(super) fn get(&self, service: &ServiceName, kind: &KindName) -> Arc<KindSeries> {
        let found = find(&self.kinds.read().unwrap_or_else(PoisonError::into_inner), service, kind);
        found.unwrap_or_else(|| self.insert(service, kind))
    }

    /// Returns all series, in no particular order.
    pub(super) fn all(&self) -> Vec<Arc<KindSeries>> {
        let kinds = self.kinds.read().unwrap_or_else(PoisonError::into_inner);
        kinds.values().flat_map(HashMap::values).cloned().collect()
    }

    fn insert(&self, service: &ServiceName, kind: &KindName) -> Arc<KindSeries> {
        let mut kinds = self.kinds.write().unwrap_or_else(PoisonError::into_inner);
        let full = kinds.values().map(HashMap::len).sum::<usize>() >= MAX_KINDS;
        let (service, kind) = match full && find(&kinds, service, kind).is_none() {
            true => (ServiceName::from(OTHER), KindName::from(OTHER)),
            false => (service.clone(), kind.clone()),
        };
        let series = kinds.entry(service.clone()).or_default().entry(kind.clone());
        series.or_insert_with(|| Arc::new(KindSeries::new(&service, &kind, &self.metrics))).clone()
    }
}

fn find(kinds: &Kinds, service: &str, kind: &str) -> Option<Arc<KindSeries>> {
    kinds.get(service)?.get(kind).cloned()
}
