//! Stand-in for the platform's object API, with faults on demand.
