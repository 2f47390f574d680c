use super::delivery::DeliveryId;
use crate::id::CallId;

/// Why a request was sent to a peer; decides how its reply is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangePurpose {
    /// An attempt of a delivery.
    Attempt(DeliveryId),
    /// Asks for a grant of a delivery's next attempt.
    RetryGrant(DeliveryId),
    /// Asks for a grant of a call that is a resend.
    ResendGrant(CallId),
    /// Asks for a grant to forward a call to its home again.
    ForwardGrant(CallId),
    /// Asks the gate to seal the last attempt of a delivery.
    Seal(DeliveryId),
    /// Forwards a keyed call to its home.
    Forward(CallId),
    /// Transfers records to the successor of this home.
    Handover,
    /// Crash reports; the reply is ignored.
    Suspects,
}
