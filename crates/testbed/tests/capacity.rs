//! Line fits and the tables that show them.

use carawaybarrow_testbed::capacity::{Fit, Table, fit_line};

/// Guards against a wrong slope or intercept, which would make every extrapolation to the target size wrong.
#[test]
fn points_on_a_line_are_fitted_exactly() {
    let points = [3.0, 5.0, 9.0, 24.0].map(|x| (x, 2.0 * x + 7.0));
    let Fit { slope, intercept, residual } = fit_line(&points).expect("four sizes");
    assert!((slope - 2.0).abs() < 1e-9 && (intercept - 7.0).abs() < 1e-9 && residual < 1e-9);
}

/// Guards against a residual that hides growth which isn't linear. The values 1, 4, 9, 16 are 1, -1, -1, 1 off their
/// line, and their mean is 7.5.
#[test]
fn a_curve_leaves_a_residual() {
    let fit = fit_line(&[1.0, 2.0, 3.0, 4.0].map(|x| (x, x * x))).expect("four sizes");
    assert!((fit.slope - 5.0).abs() < 1e-9 && (fit.intercept + 5.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - 1.0 / 7.5).abs() < 1e-9, "{fit:?}");
}

/// Guards against a slope that is computed by a division by zero, from no points or from points of a single size.
#[test]
fn one_size_has_no_line() {
    assert_eq!(fit_line(&[]), None);
    assert_eq!(fit_line(&[(9.0, 1.0), (9.0, 2.0)]), None);
}

/// Guards against a fit that is shown below another column than the one it was computed from.
#[test]
fn a_table_fits_each_column() {
    let mut table = Table::new("by teams", "teams", &["bytes", "µs"]);
    for n in [1, 2, 3, 4] {
        table.add(n, vec![100.0 * n as f64, 0.5]);
    }
    let text = table.to_string();
    assert!(text.contains("| **per item** | 100.0 | 0 |"), "{text}");
    assert!(text.contains("| **constant** | 0 | 0.5000 |"), "{text}");
}
