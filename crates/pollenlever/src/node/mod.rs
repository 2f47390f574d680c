//! The daemon: threads and the rings between them.
