//! Measurements behind `scripts/measure`.
