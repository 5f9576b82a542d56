//! Least-squares lines.

/// Line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Growth for each item.
    pub per_item: f64,
    /// Value at zero items.
    pub constant: f64,
    /// Root of the mean squared distance to the line, as a part of the mean value.
    pub residual: f64,
}

/// Fits a line to points of size and value; `None` if there are fewer than two sizes.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.is_empty() || spread == 0.0 {
        return None;
    }
    let per_item = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
    let constant = mean_y - per_item * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - constant - per_item * x).powi(2)).sum();
    let distance = (squares / count).sqrt();
    let residual = if mean_y == 0.0 { distance } else { distance / mean_y.abs() };
    Some(Fit { per_item, constant, residual })
}
