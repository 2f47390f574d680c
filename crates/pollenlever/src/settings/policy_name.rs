use std::str::FromStr;

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

impl FromStr for PolicyName {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<PolicyName, &'static str> {
        let all = [PolicyName::Pollenlever, PolicyName::Naive];
        let found = all.into_iter().find(|it| it.as_str() == text);
        found.ok_or("expected pollenlever or naive")
    }
}
