//! Command lines of both programs.
