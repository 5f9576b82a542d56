//! Least-squares line fits.

/// Straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Increase of the value for each item.
    pub slope: f64,
    /// Value at zero items.
    pub intercept: f64,
    /// Root mean square distance of the values from the line, as a fraction of the mean value. It is absolute if the
    /// mean is 0.
    pub residual: f64,
}

/// Fits a line to points of size and value. `None` if the points have fewer than two different sizes.
#[must_use]
pub fn fit_line(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let deviation_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.is_empty() || deviation_squares == 0.0 {
        return None;
    }
    let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / deviation_squares;
    let intercept = mean_y - slope * mean_x;
    let residual_squares: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let rms = (residual_squares / count).sqrt();
    let residual = if mean_y == 0.0 { rms } else { rms / mean_y.abs() };
    Some(Fit { slope, intercept, residual })
}
