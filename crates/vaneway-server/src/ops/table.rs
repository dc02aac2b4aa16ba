//! Lists for the terminal: plain-text tables, or JSON.

use serde_json::Value;

/// Formats items as a table with these columns, or as a JSON array.
pub fn format_list<T>(
    items: &[T],
    json: bool,
    header: &[&str],
    to_row: impl Fn(&T) -> Vec<String>,
    to_json: impl Fn(&T) -> Value,
) -> String {
    if json {
        let items: Value = items.iter().map(to_json).collect();
        return format!("{items:#}\n");
    }
    let rows: Vec<_> = items.iter().map(to_row).collect();
    format_table(header, &rows)
}

/// Formats a header and rows as columns, each as wide as its widest cell.
///
/// ```
/// use vaneway_server::ops::table::format_table;
///
/// let rows = vec![vec!["lm-scribes".to_owned(), "10".to_owned()]];
/// let table = format_table(&["name", "replicas"], &rows);
/// assert_eq!(table, "name        replicas\nlm-scribes  10\n");
/// ```
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|name| (*name).to_owned()).collect();
    let all: Vec<&Vec<String>> = std::iter::once(&header).chain(rows).collect();
    let widths: Vec<usize> = (0..header.len())
        .map(|i| all.iter().map(|row| row[i].chars().count()).max().unwrap_or_default())
        .collect();
    let mut text = String::new();
    for row in all {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
