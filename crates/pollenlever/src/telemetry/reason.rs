use pollenlever_core::answer::ErrorKind;

/// Why a call counts against its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// There was no answer from a target.
    Error(ErrorKind),
    /// The target answered with a server error.
    TargetError,
    /// The whole answer came after the deadline.
    Late,
}

impl Reason {
    /// Number of reasons.
    pub const COUNT: usize = ErrorKind::ALL.len() + 2;

    /// All reasons, each at its [`index`](Reason::index).
    ///
    /// ```
    /// use pollenlever::telemetry::Reason;
    /// assert!(Reason::all().enumerate().all(|(index, it)| it.index() == index));
    /// ```
    pub fn all() -> impl Iterator<Item = Reason> {
        let errors = ErrorKind::ALL.into_iter().map(Reason::Error);
        errors.chain([Reason::TargetError, Reason::Late])
    }

    /// Position of the reason in arrays of counts.
    pub fn index(self) -> usize {
        match self {
            Reason::Error(kind) => kind as usize,
            Reason::TargetError => ErrorKind::ALL.len(),
            Reason::Late => ErrorKind::ALL.len() + 1,
        }
    }

    /// Name in metrics and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Error(kind) => kind.as_str(),
            Reason::TargetError => "target-error",
            Reason::Late => "late",
        }
    }
}
