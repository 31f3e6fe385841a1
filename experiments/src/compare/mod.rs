//! Runs side by side, and whether what differs is more than their own scatter.
use crate::summary::Summary;
use std::path::Path;

/// A figure of both sides.
#[derive(Clone, Debug)]
pub struct Compared {
    pub name: &'static str,
    pub one: f64,
    pub two: f64,
    pub verdict: Verdict,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No more than the runs differ among themselves.
    Scatter,
    Better,
    Worse,
    /// One run each tells nothing of their scatter.
    Unknown,
    Same,
}

type Figure = (&'static str, bool, fn(&Summary) -> f64);

/// Name, whether more is better, and the figure.
const FIGURES: &[Figure] = &[
    ("rules broken", false, |summary| {
        summary.rules.iter().sum::<usize>() as f64
    }),
    ("utility served", true, |summary| summary.served),
    ("answers up", true, |summary| summary.up as f64),
    ("answers busy", false, |summary| summary.busy as f64),
    ("answers failed or none", false, |summary| {
        (summary.failed + summary.unanswered) as f64
    }),
    ("cut off", false, |summary| summary.cut_off as f64),
    ("moved", false, |summary| summary.moved as f64),
    ("gave up", false, |summary| summary.lost as f64),
    ("set-up p50, ms", false, |summary| summary.set_up.p50),
    ("set-up p99, ms", false, |summary| summary.set_up.p99),
    ("set-up p99.9, ms", false, |summary| summary.set_up.p99_9),
    ("line p50, ms", false, |summary| summary.lines.p50),
    ("line p99, ms", false, |summary| summary.lines.p99),
    ("line p99.9, ms", false, |summary| summary.lines.p99_9),
    ("dials a session", false, |summary| summary.dials_a_session),
    ("spread of load", false, |summary| summary.load_spread),
    ("cold budget used", false, |summary| summary.cold_push),
    ("relays' CPU, s", false, |summary| {
        summary.relays.iter().map(|relay| relay.cpu_s).sum()
    }),
    ("most memory, MB", false, |summary| {
        summary
            .relays
            .iter()
            .map(|relay| relay.most_resident_mb)
            .fold(0.0, f64::max)
    }),
];

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The square of the standard error of a mean.
fn error(values: &[f64]) -> f64 {
    let mean = mean(values);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    squares / (values.len() as f64 - 1.0) / values.len() as f64
}

/// Two means apart by more than twice the error of their difference count as different.
pub fn verdict(one: &[f64], two: &[f64], more_is_better: bool) -> Verdict {
    let apart = mean(two) - mean(one);
    if apart == 0.0 {
        return Verdict::Same;
    }
    if one.len() < 2 || two.len() < 2 {
        return Verdict::Unknown;
    }
    if apart.abs() <= 2.0 * (error(one) + error(two)).sqrt() {
        return Verdict::Scatter;
    }
    if (apart > 0.0) == more_is_better {
        Verdict::Better
    } else {
        Verdict::Worse
    }
}

/// How the second does against the first.
pub fn compare(one: &[Summary], two: &[Summary]) -> Vec<Compared> {
    FIGURES
        .iter()
        .map(|(name, more, figure)| {
            let (first, second): (Vec<f64>, Vec<f64>) = (
                one.iter().map(figure).collect(),
                two.iter().map(figure).collect(),
            );
            let verdict = verdict(&first, &second, *more);
            Compared {
                name,
                one: mean(&first),
                two: mean(&second),
                verdict,
            }
        })
        .collect()
}

/// As a table of text.
pub fn table(one: (&str, &[Summary]), two: (&str, &[Summary])) -> String {
    let mut lines = vec![
        format!(
            "{} runs of {} against {} of {}",
            one.1.len(),
            one.0,
            two.1.len(),
            two.0
        ),
        format!(
            "{:<24} {:>12} {:>12} {:>8}  second against first",
            "", "first", "second", "ratio"
        ),
    ];
    for row in compare(one.1, two.1) {
        let ratio = if row.one == 0.0 {
            "-".into()
        } else {
            format!("{:.3}", row.two / row.one)
        };
        let verdict = match row.verdict {
            Verdict::Scatter => "within the runs' scatter",
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::Unknown => "one run only: scatter unknown",
            Verdict::Same => "the same",
        };
        lines.push(format!(
            "{:<24} {:>12.3} {:>12.3} {ratio:>8}  {verdict}",
            row.name, row.one, row.two
        ));
    }
    let late = one
        .1
        .iter()
        .chain(two.1)
        .filter(|summary| summary.tool_was_late)
        .count();
    if late > 0 {
        lines.push(format!(
            "{late} of the runs were late themselves: their delays say little"
        ));
    }
    let part = one
        .1
        .iter()
        .chain(two.1)
        .filter(|summary| !summary.complete)
        .count();
    if part > 0 {
        lines.push(format!("{part} of the runs were interrupted"));
    }
    lines.join("\n")
}

/// The summaries of a run's folder, or of all runs below it.
///
/// # Errors
/// One line: it can't be read, or holds no run.
pub fn read(folder: &Path) -> Result<Vec<Summary>, String> {
    let mut found = Vec::new();
    look_in(folder, 3, &mut found)?;
    if found.is_empty() {
        return Err(format!(
            "{}: no summary.json in it or below",
            folder.display()
        ));
    }
    Ok(found)
}

fn look_in(folder: &Path, deep: u32, found: &mut Vec<Summary>) -> Result<(), String> {
    let failed = |fault: std::io::Error| format!("{}: {fault}", folder.display());
    let own = folder.join("summary.json");
    if own.exists() {
        let text = std::fs::read(&own).map_err(failed)?;
        let summary =
            serde_json::from_slice(&text).map_err(|fault| format!("{}: {fault}", own.display()))?;
        found.push(summary);
        return Ok(());
    }
    if deep == 0 {
        return Ok(());
    }
    let mut below: Vec<_> = std::fs::read_dir(folder)
        .map_err(failed)?
        .filter_map(Result::ok)
        .map(|entry| entry.path())
        .collect();
    below.sort();
    below
        .iter()
        .filter(|path| path.is_dir())
        .try_for_each(|path| look_in(path, deep - 1, found))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_differs_by_less_than_the_scatter_is_no_difference() {
        use Verdict::{Better, Same, Scatter, Unknown, Worse};
        let cases: [(&[f64], &[f64], bool, Verdict); 8] = [
            (&[1.0, 1.1, 0.9], &[1.05, 0.95, 1.15], true, Scatter),
            (&[1.0, 1.1, 0.9], &[1.5, 1.6, 1.4], true, Better),
            (&[1.0, 1.1, 0.9], &[1.5, 1.6, 1.4], false, Worse),
            (&[1.0, 1.1, 0.9], &[0.5, 0.6, 0.4], false, Better),
            (&[1.0, 5.0], &[2.0, 9.0], false, Scatter),
            (&[1.0], &[2.0], true, Unknown),
            (&[1.0], &[1.0], true, Same),
            (&[0.0, 0.0], &[0.0, 0.0], false, Same),
        ];
        for (one, two, more, expected) in cases {
            assert_eq!(verdict(one, two, more), expected, "{one:?} {two:?}");
        }
    }
}
