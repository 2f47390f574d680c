use pollenlever_core::answer::ErrorKind;

/// Why a call counts against its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The target did not answer, for example because the call was rejected or timed out.
    Error(ErrorKind),
    /// The target answered with a server error (HTTP status 500 or higher).
    TargetError,
    /// The answer was complete only after the deadline.
    Late,
}

impl Reason {
    /// Number of distinct reasons.
    pub const COUNT: usize = ErrorKind::ALL.len() + 2;

    /// Returns all reasons in the order of their [`index`](Reason::index).
    ///
    /// ```
    /// use pollenlever::telemetry::Reason;
    /// assert!(Reason::all().enumerate().all(|(index, it)| it.index() == index));
    /// ```
    pub fn all() -> impl Iterator<Item = Reason> {
        let errors = ErrorKind::ALL.into_iter().map(Reason::Error);
        errors.chain([Reason::TargetError, Reason::Late])
    }

    /// Returns the position of the reason in arrays of [`COUNT`](Reason::COUNT) counts.
    pub fn index(self) -> usize {
        match self {
            Reason::Error(kind) => kind as usize,
            Reason::TargetError => ErrorKind::ALL.len(),
            Reason::Late => ErrorKind::ALL.len() + 1,
        }
    }

    /// Returns the name used in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Error(kind) => kind.as_str(),
            Reason::TargetError => "target-error",
            Reason::Late => "late",
        }
    }
}
