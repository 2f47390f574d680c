use serde::Serialize;

/// A line in the log of a node about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Name of the log file.
    pub file: String,
    /// Time by the clock of the node, as it is written in the log; empty if there is none.
    pub time: String,
    /// Name of the event.
    pub event: String,
    /// Id of the request.
    pub request: String,
    /// Text of the line from `event=` to the end.
    pub text: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not about a request.
    ///
    /// ```
    /// use pollenlever::tool::trace::LogLine;
    /// let text = "2026-05-13T18:37:28Z [INFO] event=run-ended request=9c41 result=unknown";
    /// let line = LogLine::parse("node-1.log", text).unwrap();
    /// assert_eq!((line.event.as_str(), line.request.as_str()), ("run-ended", "9c41"));
    /// assert_eq!(LogLine::parse("node-1.log", "event=node-started node=a"), None);
    /// ```
    pub fn parse(file: &str, line: &str) -> Option<LogLine> {
        let at = line.find("event=")?;
        let text = line[at..].trim_end();
        // A prefix in front of the time, such as one added by a log collector, is skipped.
        let mut words = line[..at].split_ascii_whitespace();
        let time = words.rfind(|it| it.contains('T') && it.ends_with('Z'));
        Some(LogLine {
            file: file.to_owned(),
            time: time.unwrap_or_default().to_owned(),
            event: field(text, "event")?.to_owned(),
            request: field(text, "request")?.to_owned(),
            text: text.to_owned(),
        })
    }

    /// Returns the value of the field `key`; `None` if the line has no such field.
    pub fn field(&self, key: &str) -> Option<&str> {
        field(&self.text, key)
    }
}

/// Returns the value of the first `key=value` among words separated by spaces.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let fields = text.split(' ').filter_map(|it| it.split_once('='));
    fields.filter(|(it, _)| *it == key).map(|(_, value)| value).next()
}
