//! Text tables.

/// A table whose columns are as wide as their widest cells.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading.
    pub(crate) fn new<const N: usize>(heading: [&str; N]) -> Self {
        Self {
            rows: vec![heading.map(str::to_owned).to_vec()],
        }
    }

    /// Creates a table without a heading.
    pub(crate) fn without_heading() -> Self {
        Self { rows: Vec::new() }
    }

    pub(crate) fn push<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Returns the table with each line indented by `indent` spaces.
    pub(crate) fn render(&self, indent: usize) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = " ".repeat(indent);
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
