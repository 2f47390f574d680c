use std::time::Duration;

/// Seconds of a recovery for the last line; `none` if it was not reached.
pub(super) fn recovery_text(recovery: Option<Duration>) -> String {
    recovery.map_or_else(|| "none".to_owned(), |it| format!("{:.2}", it.as_secs_f64()))
}
