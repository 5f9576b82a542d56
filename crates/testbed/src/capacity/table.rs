//! Tables of measured values with a fitted line for each column.

use std::fmt;

use super::fit;

/// Measured values by size. Displayed as a Markdown table with a fitted line below each column.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    title: String,
    size_column: &'static str,
    columns: Vec<&'static str>,
    rows: Vec<(f64, Vec<f64>)>,
}

impl Table {
    /// Creates a table without rows; `size_column` heads the sizes and `columns` the values.
    #[must_use]
    pub fn new(title: impl Into<String>, size_column: &'static str, columns: &[&'static str]) -> Self {
        Self { title: title.into(), size_column, columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row with the values at a size, in the order of the columns.
    pub fn add(&mut self, size: usize, values: Vec<f64>) {
        self.rows.push((size as f64, values));
    }

    fn write_row(f: &mut fmt::Formatter<'_>, name: &str, values: impl Iterator<Item = String>) -> fmt::Result {
        write!(f, "| {name} |")?;
        for value in values {
            write!(f, " {value} |")?;
        }
        writeln!(f)
    }
}

/// Formats a number with four significant digits, at most six decimals and no exponent.
fn format_f64(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { 3 - value.abs().log10().floor() as i32 };
    format!("{value:.*}", digits.clamp(0, 6) as usize)
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n### {}\n", self.title)?;
        Self::write_row(f, self.size_column, self.columns.iter().map(ToString::to_string))?;
        Self::write_row(f, "---:", self.columns.iter().map(|_| "---:".to_owned()))?;
        for (size, values) in &self.rows {
            Self::write_row(f, &format_f64(*size), values.iter().map(|v| format_f64(*v)))?;
        }
        let fits: Vec<_> = (0..self.columns.len())
            .map(|i| fit::fit_line(&self.rows.iter().map(|(size, values)| (*size, values[i])).collect::<Vec<_>>()))
            .collect();
        let format_fits =
            |of: fn(&fit::Fit) -> f64| fits.iter().map(move |f| f.as_ref().map_or("-".into(), |f| format_f64(of(f))));
        Self::write_row(f, "**per item**", format_fits(|f| f.slope))?;
        Self::write_row(f, "**constant**", format_fits(|f| f.intercept))?;
        Self::write_row(f, "**residual, %**", format_fits(|f| f.residual * 100.0))
    }
}
