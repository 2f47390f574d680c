//! Open-loop callers that resend hard.
