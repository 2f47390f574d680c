//! Answers to callers: outcomes, error kinds and the table that joins them.

mod answer;
mod error_kind;
mod outcome;
mod response;

pub use answer::Answer;
pub use error_kind::ErrorKind;
pub use outcome::Outcome;
pub use response::{ComeBack, Response};
