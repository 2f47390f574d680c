//! Processes of a small deployment on loopback, started and ended by id.
