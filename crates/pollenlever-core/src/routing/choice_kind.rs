/// Algorithm that picks a target among those of one tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ChoiceKind {
    /// The one with the lower expected cost of two random ones ("power of two choices").
    #[default]
    TwoRandom,
    /// The one with the fewest requests in flight from this node.
    LeastInFlight,
    /// Each in turn, regardless of load.
    RoundRobin,
}
