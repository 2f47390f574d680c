use std::str::FromStr;

/// Form in which a result is printed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Columns for people.
    #[default]
    Table,
    /// One JSON value for programs.
    Json,
    /// A page that needs no other file.
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
