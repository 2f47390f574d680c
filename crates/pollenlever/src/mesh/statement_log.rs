use pollenlever_core::mesh::{ProcessStatement, RequestsPerSecond, TargetStatement};

use super::log_event::{LogEvent, log_event};

/// Logs that the target states something else than `before`. `source` is where it was read.
pub(super) fn log_statement(stated: &ProcessStatement, before: TargetStatement, source: &str) {
    let text = |limit: Option<RequestsPerSecond>| {
        limit.map_or_else(|| "none".to_owned(), |it| it.to_string())
    };
    log_event!(
        LogEvent::TargetStatement,
        "instance={} rate_limit={} before={} leaving={} source={source}",
        stated.instance,
        text(stated.statement.rate_limit),
        text(before.rate_limit),
        stated.statement.is_leaving
    );
}
