/// Network distance to a target, nearest first; nearer targets are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Tier {
    /// In this node's availability zone.
    Zone,
    /// In another zone of this node's region.
    Region,
    /// In another region.
    OtherRegion,
}

impl Tier {
    pub(super) const ALL: [Tier; 3] = [Tier::Zone, Tier::Region, Tier::OtherRegion];
}
