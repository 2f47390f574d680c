use std::time::Duration;

/// Formats a recovery time for the closing line: seconds, or `none` if there was no recovery.
pub(super) fn format_recovery(recovery: Option<Duration>) -> String {
    recovery.map_or_else(|| "none".to_owned(), |it| format!("{:.2}", it.as_secs_f64()))
}
