//! Plain tables for the terminal.

/// Lays rows out in columns of even width, the header first.
///
/// ```
/// use vaneway_server::ops::table::layout;
///
/// let rows = vec![vec!["lm-scribes".to_owned(), "10".to_owned()]];
/// assert_eq!(layout(&["name", "replicas"], &rows), "name        replicas\nlm-scribes  10\n");
/// ```
pub fn layout(header: &[&str], rows: &[Vec<String>]) -> String {
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
