//! The manifest: services and kinds of request in INI.
