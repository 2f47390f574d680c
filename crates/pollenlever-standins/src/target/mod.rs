//! Stand-in for a target, with a run log and faults on demand.
