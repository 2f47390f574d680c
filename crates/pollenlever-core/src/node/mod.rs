//! The node's policy, composed of the other modules.
