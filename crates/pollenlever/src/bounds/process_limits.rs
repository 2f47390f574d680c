/// What a process is allowed, as far as it is told.
///
/// ```
/// use pollenlever::bounds::ProcessLimits;
/// let settings = ProcessLimits { memory_bytes: Some(64_000_000), ..ProcessLimits::default() };
/// let platform = ProcessLimits { memory_bytes: Some(256_000_000), max_descriptors: Some(4100) };
/// assert_eq!(settings.or(platform).memory_bytes, Some(64_000_000));
/// assert_eq!(settings.or(platform).max_descriptors, Some(4100));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: Option<usize>,
    /// Descriptors that it may have open.
    pub max_descriptors: Option<usize>,
}

impl ProcessLimits {
    /// These limits, and those of `other` where these say nothing.
    pub fn or(self, other: ProcessLimits) -> ProcessLimits {
        ProcessLimits {
            memory_bytes: self.memory_bytes.or(other.memory_bytes),
            max_descriptors: self.max_descriptors.or(other.max_descriptors),
        }
    }
}
