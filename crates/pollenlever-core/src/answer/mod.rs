//! Answers to callers: outcomes, error kinds, and the status, outcome and advice for each error.

mod answer;
mod error_kind;
mod outcome;
mod response;

pub use answer::Answer;
pub use error_kind::ErrorKind;
pub use outcome::Outcome;
pub use response::{ComeBack, Response};
