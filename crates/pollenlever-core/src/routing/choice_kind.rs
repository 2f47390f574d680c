/// How a target is picked among those of one tier.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ChoiceKind {
    /// The better of two random ones.
    #[default]
    TwoRandom,
    /// The one with the fewest requests of this node in flight.
    LeastInFlight,
    /// Each in turn.
    InTurn,
}
