//! HTTP entry for callers, targets and operators.
