//! Results of trials as a table of text.
use super::{Measured, Trial};
use hdrhistogram::Histogram;
use std::collections::BTreeSet;

const HEAD: &str = "relays  loss  all see all    fact known     first gone     all gone       bound  \
    suspicions/h  false gone/h  bytes a period  CPU us/s\n";
const FOOT: &str = "times in periods, the middle and the worst of the seeds; rates an hour, summed \
    over all observers, at a period of a second\n";

/// Losses are told apart in parts of a thousand.
const LOSS_STEPS: f64 = 1e3;
/// Times are kept in hundredths of a period.
const TIME_STEPS: f64 = 100.0;

/// Trials that differ in their seeds alone: the size and the loss in parts of a thousand.
type Group = (usize, u64);

fn group_of(trial: &Trial) -> Group {
    (trial.size, (trial.loss * LOSS_STEPS) as u64)
}

/// A line for each size and loss, over its seeds: the middle and the worst.
pub fn table(results: &[(Trial, Measured)]) -> String {
    let groups: BTreeSet<Group> = results.iter().map(|(trial, _)| group_of(trial)).collect();
    let mut table = HEAD.to_string();
    for group in groups {
        let in_group = results
            .iter()
            .filter(|(trial, _)| group_of(trial) == group)
            .map(|(_, measured)| measured)
            .collect();
        table += &Row(in_group).line(group);
    }
    table + FOOT
}

/// The results of one group.
struct Row<'a>(Vec<&'a Measured>);

impl Row<'_> {
    fn line(&self, (size, loss): Group) -> String {
        format!(
            "{size:>6}  {:>4.0}% {} {} {} {} {:>6.0}  {:>12.1}  {:>12.1}  {:>14.0}  {:>8}\n",
            loss as f64 / 10.0,
            self.spread(|measured| measured.join),
            self.spread(|measured| measured.note),
            self.spread(|measured| measured.first_detection),
            self.spread(|measured| measured.last_detection),
            self.mean(|measured| measured.detection_bound),
            self.mean(|measured| measured.suspicions),
            self.mean(|measured| measured.false_deaths),
            self.mean(|measured| measured.bytes),
            self.cpu()
        )
    }

    fn mean(&self, value: fn(&Measured) -> f64) -> f64 {
        self.0.iter().map(|measured| value(measured)).sum::<f64>() / self.0.len().max(1) as f64
    }

    /// The middle and the longest time, and how many trials had none.
    fn spread(&self, time: fn(&Measured) -> Option<f64>) -> String {
        let mut times = Histogram::<u64>::new(3).expect("three digits");
        let mut missing = 0;
        for measured in &self.0 {
            match time(measured) {
                Some(time) => times
                    .record((time * TIME_STEPS) as u64)
                    .expect("it grows as needed"),
                None => missing += 1,
            }
        }
        let missing = match missing {
            0 => String::new(),
            count => format!(" -{count}"),
        };
        let middle = times.value_at_quantile(0.5) as f64 / TIME_STEPS;
        let longest = times.max() as f64 / TIME_STEPS;
        let text = format!("{middle:.1} / {longest:.1}{missing}");
        format!("{text:<14}")
    }

    fn cpu(&self) -> String {
        let cpu: Vec<f64> = self
            .0
            .iter()
            .filter_map(|measured| measured.cpu_us)
            .collect();
        if cpu.is_empty() {
            return "-".into();
        }
        format!("{:.0}", cpu.iter().sum::<f64>() / cpu.len() as f64)
    }
}
