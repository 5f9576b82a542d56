//! Lines through measured points, and the tables that show them.

use carawaybarrow_testbed::capacity::{Fit, Table, fit_line};

/// Guards against slopes of the wrong scale, which would be carried over to the target size.
#[test]
fn a_line_is_found_exactly() {
    let points = [3.0, 5.0, 9.0, 24.0].map(|x| (x, 2.0 * x + 7.0));
    let Fit { per_item, constant, residual } = fit_line(&points).expect("four sizes");
    assert!((per_item - 2.0).abs() < 1e-9 && (constant - 7.0).abs() < 1e-9 && residual < 1e-9);
}

/// Guards against a residual that hides a curve: values of 1, 4, 9, 16 lie 1, -1, -1, 1 off their line, by a mean of 7.5.
#[test]
fn a_curve_leaves_a_residual() {
    let fit = fit_line(&[1.0, 2.0, 3.0, 4.0].map(|x| (x, x * x))).expect("four sizes");
    assert!((fit.per_item - 5.0).abs() < 1e-9 && (fit.constant + 5.0).abs() < 1e-9, "{fit:?}");
    assert!((fit.residual - 1.0 / 7.5).abs() < 1e-9, "{fit:?}");
}

/// Guards against a slope that comes from a single size.
#[test]
fn one_size_has_no_line() {
    assert_eq!(fit_line(&[]), None);
    assert_eq!(fit_line(&[(9.0, 1.0), (9.0, 2.0)]), None);
}

/// Guards against columns that trade places between the rows and the fit.
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
