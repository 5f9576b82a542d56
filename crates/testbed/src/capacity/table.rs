//! Tables of measured values with a fitted line for each column.

use std::fmt;

use super::fit;

/// Values by size.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    title: String,
    size: &'static str,
    columns: Vec<&'static str>,
    rows: Vec<(f64, Vec<f64>)>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(title: impl Into<String>, size: &'static str, columns: &[&'static str]) -> Self {
        Self { title: title.into(), size, columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds the values of a size, in the order of the columns.
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

/// Four significant digits, without an exponent.
fn show_number(value: f64) -> String {
    let digits = if value == 0.0 { 0 } else { 3 - value.abs().log10().floor() as i32 };
    format!("{value:.*}", digits.clamp(0, 6) as usize)
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "\n### {}\n", self.title)?;
        Self::write_row(f, self.size, self.columns.iter().map(ToString::to_string))?;
        Self::write_row(f, "---:", self.columns.iter().map(|_| "---:".to_owned()))?;
        for (size, values) in &self.rows {
            Self::write_row(f, &show_number(*size), values.iter().map(|v| show_number(*v)))?;
        }
        let fits: Vec<_> = (0..self.columns.len())
            .map(|i| fit::fit_line(&self.rows.iter().map(|(size, values)| (*size, values[i])).collect::<Vec<_>>()))
            .collect();
        let show =
            |of: fn(&fit::Fit) -> f64| fits.iter().map(move |f| f.as_ref().map_or("-".into(), |f| show_number(of(f))));
        Self::write_row(f, "**per item**", show(|f| f.per_item))?;
        Self::write_row(f, "**constant**", show(|f| f.constant))?;
        Self::write_row(f, "**residual, %**", show(|f| f.residual * 100.0))
    }
}
