use std::str::FromStr;

/// Output format of a result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Text in columns, for people.
    #[default]
    Table,
    /// One JSON value, for programs.
    Json,
    /// A self-contained HTML page.
    Html,
}

impl FromStr for OutputFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<OutputFormat, &'static str> {
        match text {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            "html" => Ok(OutputFormat::Html),
            _ => Err("expected table, json or html"),
        }
    }
}
