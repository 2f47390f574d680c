//! Requests to the target beside this node.
