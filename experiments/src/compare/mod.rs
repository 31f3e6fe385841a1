//! Runs side by side, and whether what differs is more than their own scatter.
mod figures;
mod read;

pub use read::{ReadError, read};

use crate::summary::Summary;
use figures::FIGURES;

/// Means that lie further apart than this many times the standard error of their difference count
/// as different.
const SIGNIFICANCE: f64 = 2.0;

/// Runs of one build, with a name for people.
#[derive(Clone, Copy)]
pub struct Side<'a> {
    /// As the table names it.
    pub name: &'a str,
    /// Its runs.
    pub runs: &'a [Summary],
}

/// A figure of both sides: the means over their runs.
#[derive(Clone, Debug)]
struct ComparedFigure {
    name: &'static str,
    first: f64,
    second: f64,
    verdict: Verdict,
}

/// How the second side does against the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// They differ no more than the runs of a side among themselves.
    Scatter,
    Better,
    Worse,
    /// One run each tells nothing of their scatter.
    Unknown,
    Same,
}

impl Verdict {
    fn describe(self) -> &'static str {
        match self {
            Verdict::Scatter => "within the runs' scatter",
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::Unknown => "one run only: scatter unknown",
            Verdict::Same => "the same",
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The square of the standard error of a mean.
fn squared_error(values: &[f64]) -> f64 {
    let mean = mean(values);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    squares / (values.len() as f64 - 1.0) / values.len() as f64
}

fn verdict(first: &[f64], second: &[f64], more_is_better: bool) -> Verdict {
    let difference = mean(second) - mean(first);
    if difference == 0.0 {
        return Verdict::Same;
    }
    if first.len() < 2 || second.len() < 2 {
        return Verdict::Unknown;
    }
    let error = (squared_error(first) + squared_error(second)).sqrt();
    if difference.abs() <= SIGNIFICANCE * error {
        return Verdict::Scatter;
    }
    if (difference > 0.0) == more_is_better {
        Verdict::Better
    } else {
        Verdict::Worse
    }
}

fn compare(first: &[Summary], second: &[Summary]) -> Vec<ComparedFigure> {
    FIGURES
        .iter()
        .map(|figure| {
            let of_first: Vec<f64> = first.iter().map(figure.value).collect();
            let of_second: Vec<f64> = second.iter().map(figure.value).collect();
            ComparedFigure {
                name: figure.name,
                first: mean(&of_first),
                second: mean(&of_second),
                verdict: verdict(&of_first, &of_second, figure.more_is_better),
            }
        })
        .collect()
}

/// Both sides as a table of text.
pub fn table(first: Side, second: Side) -> String {
    let mut lines = vec![
        format!(
            "{} runs of {} against {} of {}",
            first.runs.len(),
            first.name,
            second.runs.len(),
            second.name
        ),
        format!(
            "{:<24} {:>12} {:>12} {:>8}  second against first",
            "", "first", "second", "ratio"
        ),
    ];
    lines.extend(compare(first.runs, second.runs).iter().map(row));
    let runs = || first.runs.iter().chain(second.runs);
    let late = runs().filter(|run| run.testbed_was_late).count();
    if late > 0 {
        lines.push(format!(
            "{late} of the runs were late themselves: their delays say little"
        ));
    }
    let interrupted = runs().filter(|run| !run.complete).count();
    if interrupted > 0 {
        lines.push(format!("{interrupted} of the runs were interrupted"));
    }
    lines.join("\n")
}

fn row(figure: &ComparedFigure) -> String {
    let ratio = if figure.first == 0.0 {
        "-".into()
    } else {
        format!("{:.3}", figure.second / figure.first)
    };
    format!(
        "{:<24} {:>12.3} {:>12.3} {ratio:>8}  {}",
        figure.name,
        figure.first,
        figure.second,
        figure.verdict.describe()
    )
}

#[cfg(test)]
mod tests;
