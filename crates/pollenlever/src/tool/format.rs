use std::str::FromStr;

/// Output format of a result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Text in columns, for people.
    #[default]
    Table,
    /// One JSON value, for programs.
    Json,
    /// A self-contained HTML page.
    Html,
}

impl FromStr for Format {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Format, &'static str> {
        match text {
            "table" => Ok(Format::Table),
            "json" => Ok(Format::Json),
            "html" => Ok(Format::Html),
            _ => Err("expected table, json or html"),
        }
    }
}
