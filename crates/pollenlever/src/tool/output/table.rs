use std::fmt;

/// Text in aligned columns.
///
/// ```
/// use pollenlever::tool::output::Table;
/// let mut table = Table::new(["zone", "nodes"]);
/// table.add_row(["lombardia-a", "6"]);
/// assert_eq!(table.to_string(), "zone         nodes\nlombardia-a  6\n");
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading row.
    pub fn new<const N: usize>(heading: [&str; N]) -> Table {
        Table { rows: vec![heading.map(str::to_owned).to_vec()] }
    }

    /// Adds a row.
    pub fn add_row<T: Into<String>>(&mut self, cells: impl IntoIterator<Item = T>) {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|it| it.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
