use super::RetryPriority;
use crate::config::Importance;

/// Class of a request: importance and depth in its chain of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestClass {
    /// Importance of the chain.
    pub importance: Importance,
    /// Number of requests before this one in the chain; 0 for the caller's request.
    pub depth: u8,
}

impl RequestClass {
    /// Class of a call that a target makes while it runs a request of this class.
    ///
    /// ```
    /// use pollenlever_core::config::Importance;
    /// use pollenlever_core::mesh::RequestClass;
    /// let class = RequestClass { importance: Importance::Critical, depth: 0 };
    /// assert_eq!(class.of_call(), RequestClass { depth: 1, ..class });
    /// ```
    pub fn of_call(self) -> RequestClass {
        RequestClass { depth: self.depth.saturating_add(1), ..self }
    }

    /// Rank of a request of this class in the claim on retries.
    pub fn retry_priority(self) -> RetryPriority {
        RetryPriority { importance: self.importance, is_call: self.depth > 0 }
    }
}
