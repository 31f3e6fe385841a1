//! Formats slopes as a text table.
use super::super::config::ScaleConfig;
use super::super::outcome_table::describe_links;
use super::{Line, Slope, Variable};

/// Returns a table with one row for each figure.
pub fn table(config: &ScaleConfig, variable: Variable, seeds: u64, slopes: &[Slope]) -> String {
    let fault = serde_json::to_value(config.fault).ok();
    let fault = fault.as_ref().and_then(|fault| fault.as_str());
    let mut table = format!(
        "over {}, {}, {seeds} seeds from {}, fault {}, loss {}, period {} ms, term {} ms: \
         median (least to most)\n",
        variable.label(),
        describe_links(config),
        config.seed,
        fault.unwrap_or_default(),
        config.loss,
        config.period_ms,
        config.term_ms
    );
    for slope in slopes {
        table += &row(slope);
    }
    table
}

fn row(slope: &Slope) -> String {
    let mut row = format!("{:<40}", slope.figure);
    for (size, spread) in &slope.points {
        let figure = spread.map_or("never".into(), |[least, median, most]| {
            format!(
                "{} ({} to {})",
                format_short(median),
                format_short(least),
                format_short(most)
            )
        });
        row += &format!(" | {size}: {figure}");
    }
    if let Some(line) = slope.line {
        row += &describe_line(line);
    }
    row + "\n"
}

fn describe_line(line: Line) -> String {
    let residual = line.worst_residual * 100.0;
    if !line.fits() {
        return format!(" | not a line (off by {residual:.0}%)");
    }
    let (at_zero, slope) = (format_short(line.at_zero), format_short(line.slope));
    format!(" | {at_zero} + {slope} each, within {residual:.1}%")
}

/// Formats a value with about three significant digits, and at most four decimals.
fn format_short(value: f64) -> String {
    match value.abs() {
        large if large >= 100.0 => format!("{value:.0}"),
        medium if medium >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.4}"),
    }
}
