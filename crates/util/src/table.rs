//! Plain-text tables for terminals.

use std::fmt;

/// Number of spaces between two columns.
const GAP: usize = 2;

/// A table with a header; each column is as wide as its widest cell.
#[derive(Clone, Debug, Default)]
pub struct Table {
    header: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new<const N: usize>(header: [&str; N]) -> Self {
        Table { header: header.map(str::to_owned).to_vec(), rows: Vec::new() }
    }

    /// Adds a row, with one cell per column of the header.
    pub fn row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.to_vec());
    }

    /// Whether the table has no rows besides its header.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn width(&self, column: usize) -> usize {
        let cells = std::iter::once(&self.header).chain(&self.rows);
        cells.filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.header.len()).map(|column| self.width(column)).collect();
        for row in std::iter::once(&self.header).chain(&self.rows) {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}{:GAP$}", ""));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
