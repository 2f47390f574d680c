/// Which policy decides on this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PolicyName {
    /// The policy of this project.
    #[default]
    Pollenlever,
    /// The baseline of measurements.
    Naive,
}

impl PolicyName {
    /// The word used in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyName::Pollenlever => "pollenlever",
            PolicyName::Naive => "naive",
        }
    }
}
