//! Commands of the operator tool.
