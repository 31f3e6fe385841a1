//! Formats the results of trials as a text table.
use super::{Measurements, Trial};
use hdrhistogram::Histogram;
use std::collections::BTreeSet;

const HEADER: &str = "\
    relays  loss  all see all    fact known     first gone     all gone       bound  \
    suspicions/h  false gone/h  bytes a period  CPU us/s\n";
const FOOTER: &str = "\
    times in periods, the middle and the worst of the seeds; rates an hour, summed \
    over all observers, at a period of a second\n";

/// Loss rates are grouped in steps of a thousandth.
const LOSS_STEPS: f64 = 1e3;
/// Histograms record times in steps of a hundredth of a probe period.
const TIME_STEPS: f64 = 100.0;

/// Identifies trials that differ only in their seeds: the size and the loss rate in thousandths.
type Group = (usize, u64);

fn group_of(trial: &Trial) -> Group {
    (trial.size, (trial.loss * LOSS_STEPS) as u64)
}

/// Returns a table with one line for each size and loss rate, over all seeds.
pub fn table(results: &[(Trial, Measurements)]) -> String {
    let groups: BTreeSet<Group> = results.iter().map(|(trial, _)| group_of(trial)).collect();
    let mut table = HEADER.to_string();
    for group in groups {
        let in_group = results
            .iter()
            .filter(|(trial, _)| group_of(trial) == group)
            .map(|(_, measured)| measured)
            .collect();
        table += &Row(in_group).line(group);
    }
    table + FOOTER
}

/// The results of the trials of one group.
struct Row<'a>(Vec<&'a Measurements>);

impl Row<'_> {
    fn line(&self, (size, loss): Group) -> String {
        format!(
            "{size:>6}  {:>4.0}% {} {} {} {} {:>6.0}  {:>12.1}  {:>12.1}  {:>14.0}  {:>8}\n",
            loss as f64 / 10.0,
            self.median_and_longest(|measured| measured.join),
            self.median_and_longest(|measured| measured.note_known),
            self.median_and_longest(|measured| measured.first_detection),
            self.median_and_longest(|measured| measured.last_detection),
            self.mean(|measured| measured.detection_bound),
            self.mean(|measured| measured.suspicions_per_hour),
            self.mean(|measured| measured.false_deaths_per_hour),
            self.mean(|measured| measured.bytes_per_period),
            self.mean_cpu()
        )
    }

    fn mean(&self, value: fn(&Measurements) -> f64) -> f64 {
        self.0.iter().map(|measured| value(measured)).sum::<f64>() / self.0.len().max(1) as f64
    }

    /// Formats the median and the longest time, and the number of trials without this time.
    fn median_and_longest(&self, time: fn(&Measurements) -> Option<f64>) -> String {
        let mut times = Histogram::<u64>::new(3).expect("three significant digits are valid");
        let mut missing = 0;
        for measured in &self.0 {
            match time(measured) {
                Some(time) => times
                    .record((time * TIME_STEPS) as u64)
                    .expect("the histogram resizes itself"),
                None => missing += 1,
            }
        }
        let missing = match missing {
            0 => String::new(),
            count => format!(" -{count}"),
        };
        let median = times.value_at_quantile(0.5) as f64 / TIME_STEPS;
        let longest = times.max() as f64 / TIME_STEPS;
        let text = format!("{median:.1} / {longest:.1}{missing}");
        format!("{text:<14}")
    }

    fn mean_cpu(&self) -> String {
        let cpu: Vec<f64> = self
            .0
            .iter()
            .filter_map(|measured| measured.cpu_us_per_s)
            .collect();
        if cpu.is_empty() {
            return "-".into();
        }
        format!("{:.0}", cpu.iter().sum::<f64>() / cpu.len() as f64)
    }
}
