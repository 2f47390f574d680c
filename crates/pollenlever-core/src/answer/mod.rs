//! Answers to callers: outcomes, error kinds, and the status, outcome and advice for each error.

mod answer;
mod error_kind;
mod error_response;
mod final_status;
mod outcome;

pub use answer::Answer;
pub use error_kind::ErrorKind;
pub use error_response::{ErrorResponse, RetryAdvice};
pub use final_status::is_final_status;
pub use outcome::Outcome;
