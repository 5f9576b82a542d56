//! Text tables with aligned columns.

/// Spaces between two columns.
const GAP: usize = 2;

/// Renders a header and rows with aligned columns, without trailing spaces.
#[must_use]
pub fn render_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize, title: &str| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([title.chars().count()]).max().unwrap_or(0)
    };
    let widths: Vec<_> = header.iter().enumerate().map(|(i, title)| width(i, title)).collect();
    let mut text = render_row(header.iter().copied(), &widths);
    for row in rows {
        text.push_str(&render_row(row.iter().map(String::as_str), &widths));
    }
    text
}

fn render_row<'a>(cells: impl Iterator<Item = &'a str>, widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, width) in cells.zip(widths) {
        line.push_str(cell);
        line.extend(std::iter::repeat_n(' ', width - cell.chars().count() + GAP));
    }
    format!("{}\n", line.trim_end())
}
