//! Linear fits through measured points.

use std::fmt::Write;

/// Linear function `fixed + slope * x`.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    /// Value at x = 0.
    pub fixed: f64,
    /// Increase per unit of x.
    pub slope: f64,
}

impl Line {
    /// Returns the value at `x`, or 0 if it is negative.
    pub fn at(&self, x: f64) -> f64 {
        self.slope.mul_add(x, self.fixed).max(0.0)
    }
}

/// Fits a line by least squares and prints it with its points as a row of a table.
pub fn fit(name: &str, x_unit: &str, y_unit: &str, points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let line = Line {
        fixed: slope.mul_add(-mean_x, mean_y),
        slope,
    };
    let total: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
    let residual: f64 = points
        .iter()
        .map(|(x, y)| (y - slope.mul_add(*x, line.fixed)).powi(2))
        .sum();
    let explained = if total > 0.0 { 1.0 - residual / total } else { 1.0 };
    let mut list = String::new();
    for (x, y) in points {
        let separator = if list.is_empty() { "" } else { "; " };
        write!(list, "{separator}{x}: {}", short(*y)).expect("a string takes text");
    }
    println!(
        "| {name} | {x_unit} | {list} | {} + {} x {y_unit} | {explained:.3} |",
        short(line.fixed),
        short(slope)
    );
    line
}

/// Prints the heading and the header row of a table of fits.
pub fn print_heading(title: &str) {
    println!("\n### {title}\n");
    println!("| measure | x | points (x: y) | fit | R² |\n| --- | --- | --- | --- | --- |");
}

/// Formats a number with about three significant digits.
pub fn short(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
