//! Collects the lines that nodes logged about one request and sorts them by cause and effect.

mod log_line;
mod request_trace;

pub use log_line::LogLine;
pub use request_trace::RequestTrace;
