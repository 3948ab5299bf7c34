//! Plain-text tables.

/// Space between two columns, characters.
const GAP_CHARS: usize = 2;

/// Plain-text table with a head row; columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with the column names of `head` in upper case.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| cell.to_uppercase()).collect();
        TextTable { rows: vec![head] }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: &[&dyn std::fmt::Display]) {
        self.rows
            .push(cells.iter().map(|c| c.to_string()).collect());
    }

    /// Returns the table as text without a final line break.
    pub fn text(&self) -> String {
        let widths = self.widths();
        let mut lines = Vec::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}", width = width + GAP_CHARS));
            }
            lines.push(line.trim_end().to_owned());
        }
        lines.join("\n")
    }

    fn widths(&self) -> Vec<usize> {
        let mut widths = vec![0; self.rows[0].len()];
        for row in &self.rows {
            for (cell, width) in row.iter().zip(&mut widths) {
                *width = cell.chars().count().max(*width);
            }
        }
        widths
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_are_as_wide_as_their_widest_cell() {
        let mut table = TextTable::new(&["name", "n"]);
        table.add_row(&[&"long name", &1]);
        assert_eq!(table.text(), "NAME       N\nlong name  1");
    }
}
