use serde::Serialize;

/// A line that a node logged about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// The file that it stands in.
    pub file: String,
    /// Time of day by the node's clock, as written.
    pub time: String,
    /// Name of the event.
    pub event: String,
    /// The request.
    pub request: String,
    /// The line from the event on.
    pub text: String,
}

impl LogLine {
    /// Reads a line; `None` if it is not about a request.
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
        // Whatever stands before the time of day, such as a collector's own prefix, is left out.
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

    /// Value of a field of the line.
    pub fn field(&self, key: &str) -> Option<&str> {
        field(&self.text, key)
    }
}

/// Value of `key=value` among words that are parted by spaces.
fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let fields = text.split(' ').filter_map(|it| it.split_once('='));
    fields.filter(|(it, _)| *it == key).map(|(_, value)| value).next()
}
