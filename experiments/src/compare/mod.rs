//! Compares the runs of two builds, and tells differences from random variation between runs.
mod figures;
mod read;

pub use read::{ReadError, read};

use crate::summary::Summary;
use figures::FIGURES;

/// Two means count as different if they are further apart than this many standard errors of their
/// difference.
const SIGNIFICANCE: f64 = 2.0;

/// The runs of one build, with its name.
#[derive(Clone, Copy)]
pub struct Side<'a> {
    /// The name in the table.
    pub name: &'a str,
    /// The summaries of the runs.
    pub runs: &'a [Summary],
}

/// A figure of both sides, each as the mean over its runs.
#[derive(Clone, Debug)]
struct ComparedFigure {
    name: &'static str,
    first: f64,
    second: f64,
    verdict: Verdict,
}

/// The result of comparing a figure of the second side with that of the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    /// The difference is within the random variation between runs.
    WithinVariation,
    Better,
    Worse,
    /// A side has fewer than two runs, so the variation between runs is unknown.
    Unknown,
    Same,
}

impl Verdict {
    fn describe(self) -> &'static str {
        match self {
            Verdict::WithinVariation => "within the variation between runs",
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::Unknown => "one run only: variation unknown",
            Verdict::Same => "the same",
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the square of the standard error of the mean.
fn squared_standard_error(values: &[f64]) -> f64 {
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
    let error = (squared_standard_error(first) + squared_standard_error(second)).sqrt();
    if difference.abs() <= SIGNIFICANCE * error {
        return Verdict::WithinVariation;
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

/// Returns the comparison of both sides as a text table.
pub fn table(first: Side, second: Side) -> String {
    let mut lines = vec![
        format!(
            "{} runs of {} compared with {} of {}",
            first.runs.len(),
            first.name,
            second.runs.len(),
            second.name
        ),
        format!(
            "{:<24} {:>12} {:>12} {:>8}  second compared with first",
            "", "first", "second", "ratio"
        ),
    ];
    lines.extend(compare(first.runs, second.runs).iter().map(row));
    let runs = || first.runs.iter().chain(second.runs);
    let late = runs().filter(|run| run.testbed_was_late).count();
    if late > 0 {
        lines.push(format!(
            "the testbed was too slow in {late} of the runs: their delays are unreliable"
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
