use super::delivery::DeliveryId;
use crate::id::CallId;

/// Why this node sent a request to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Exchange {
    /// An attempt of a delivery.
    Attempt(DeliveryId),
    /// A grant for the next attempt of a delivery.
    RetryGrant(DeliveryId),
    /// A grant for a call that is a resend.
    ResendGrant(CallId),
    /// A grant for another send of a call to its home.
    ForwardGrant(CallId),
    /// A question about the fate of a delivery's attempt.
    Seal(DeliveryId),
    /// A keyed call for its home.
    Forward(CallId),
    /// Records for the successor of this home.
    Handover,
    /// News that nobody waits for.
    Notice,
}
