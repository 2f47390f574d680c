/// Limits for what a node reads of the answers of its target.
///
/// ```
/// use pollenlever_core::mesh::AnswerLimits;
/// let limits = AnswerLimits { max_head_bytes: 1 << 16, ..AnswerLimits::default() };
/// assert!(limits.max_answer_bytes > limits.max_head_bytes);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Most bytes that are read before the head of an answer is taken: interim answers, the head, and what
    /// the connection buffers of the body.
    pub max_head_bytes: usize,
    /// Most bytes of the body of one answer.
    pub max_answer_bytes: usize,
    /// Most bytes that are read of one answer besides: head, chunk sizes, trailers and what parts cost.
    pub max_overhead_bytes: usize,
    /// Bytes that each part of a body counts besides its own.
    pub part_cost_bytes: usize,
}

impl Default for AnswerLimits {
    fn default() -> AnswerLimits {
        AnswerLimits {
            max_head_bytes: 512 << 10,
            max_answer_bytes: 64 << 20,
            max_overhead_bytes: 4 << 20,
            part_cost_bytes: 512,
        }
    }
}
