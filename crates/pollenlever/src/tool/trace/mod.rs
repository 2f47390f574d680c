//! The lines that nodes logged about one request, in order.

mod log_line;
mod request_trace;

pub use log_line::LogLine;
pub use request_trace::RequestTrace;
