//! What a figure grows with: the same run at several sizes and seeds, and a straight line through
//! what was measured.
use super::config::ScaleConfig;
use super::outcome::Outcome;
use super::{Programs, Progress, run};
use serde::Serialize;
use std::fmt::Write;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A line fits where no median lies further from it than this part of its own value.
const FITS_WITHIN: f64 = 0.1;

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Variable {
    /// Relays, each with as many subjects as in the configuration.
    Relays,
    /// Subjects of each relay.
    Subjects,
    Voters,
}

impl Variable {
    fn set(self, config: &ScaleConfig, value: usize) -> ScaleConfig {
        let mut changed = config.clone();
        match self {
            Variable::Relays => {
                changed.subjects = config.subjects / config.relays.max(1) * value;
                changed.relays = value;
            }
            Variable::Subjects => changed.subjects = config.relays * value,
            Variable::Voters => changed.voters = value,
        }
        changed
    }

    fn word(self) -> &'static str {
        match self {
            Variable::Relays => "relays",
            Variable::Subjects => "subjects a relay",
            Variable::Voters => "voters",
        }
    }
}

/// `y = at_zero + slope x` by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub at_zero: f64,
    pub slope: f64,
    /// The furthest that a point lies from it, as a part of the point's value.
    pub worst_residual: f64,
}

impl Line {
    pub fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len().max(1) as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|point| (point.0 - x) * (point.1 - y))
            .sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
        let at_zero = y - slope * x;
        let residual = |point: &(f64, f64)| {
            (at_zero + slope * point.0 - point.1).abs() / point.1.abs().max(f64::MIN_POSITIVE)
        };
        let worst_residual = points
            .iter()
            .filter(|point| point.1 != 0.0)
            .map(residual)
            .fold(0.0, f64::max);
        Line {
            at_zero,
            slope,
            worst_residual,
        }
    }

    pub fn fits(&self) -> bool {
        self.worst_residual <= FITS_WITHIN
    }
}

/// One figure at all sizes.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    pub figure: &'static str,
    /// The size, and the figure's least, median and most over the seeds; none where it was never
    /// reached.
    pub points: Vec<(usize, Option<[f64; 3]>)>,
    pub line: Option<Line>,
}

type Figure = (&'static str, fn(&Outcome) -> Option<f64>);

const FIGURES: &[Figure] = &[
    ("relay, calm, sent B/s", |one| {
        Some(one.phase("calm")?.relay.sent_mean)
    }),
    ("relay, calm, received B/s", |one| {
        Some(one.phase("calm")?.relay.received_mean)
    }),
    ("relay that sends most, calm, B/s", |one| {
        Some(one.phase("calm")?.relay.sent_of_worst)
    }),
    ("voter, calm, sent B/s", |one| {
        Some(one.phase("calm")?.voter.sent_mean)
    }),
    ("voter, calm, received B/s", |one| {
        Some(one.phase("calm")?.voter.received_mean)
    }),
    ("start, s until all agree", |one| {
        one.phase("start")?.converged?.members_s
    }),
    ("start, s until all is owned", |one| {
        one.phase("start")?.converged?.owned_s
    }),
    ("start, relay's worst second, sent", |one| {
        Some(one.phase("start")?.relay.sent_worst_second as f64)
    }),
    ("start, relay's worst second, received", |one| {
        Some(one.phase("start")?.relay.received_worst_second as f64)
    }),
    ("start, voter's worst second, received", |one| {
        Some(one.phase("start")?.voter.received_worst_second as f64)
    }),
    ("fault, s until all agree", |one| {
        one.phase("fault")?.converged?.members_s
    }),
    ("fault, s until all is owned", |one| {
        one.phase("fault")?.converged?.owned_s
    }),
    ("fault, relay, sent B/s", |one| {
        Some(one.phase("fault")?.relay.sent_mean)
    }),
    ("fault, relay's worst second, sent", |one| {
        Some(one.phase("fault")?.relay.sent_worst_second as f64)
    }),
    ("relay, calm, % of a core", |one| {
        Some(one.relay?.cpu_percent)
    }),
    ("relay, worst phase, % of a core", |one| {
        Some(one.relay?.worst_cpu_percent)
    }),
    ("relay, MB", |one| Some(one.relay?.memory_mb)),
    ("voter, calm, % of a core", |one| {
        Some(one.voter?.cpu_percent)
    }),
    ("voter, worst phase, % of a core", |one| {
        Some(one.voter?.worst_cpu_percent)
    }),
    ("voter, MB", |one| Some(one.voter?.memory_mb)),
    ("real relay, calm, sent B/s", |one| {
        Some(one.real?.sent_mean)
    }),
    ("real relay, view at its door, bytes", |one| {
        Some(one.real?.view_bytes as f64)
    }),
    ("two owners at once", |one| Some(one.two_owners as f64)),
    ("not owned at the end", |one| {
        Some(one.config.subjects.saturating_sub(one.owned_at_end) as f64)
    }),
];

/// Runs of all sizes and seeds: at once over simulated links, one after the other as processes,
/// which share the machine.
///
/// # Errors
/// One line: a size that is out of range, or what could not be set up.
pub fn sweep(
    config: &ScaleConfig,
    variable: Variable,
    sizes: &[usize],
    seeds: u64,
    programs: &Programs,
    progress: Progress<'_>,
) -> Result<Vec<(usize, Outcome)>, String> {
    let of_size = |size: &usize| (0..seeds).map(|seed| (*size, seed)).collect::<Vec<_>>();
    let mut all = Vec::new();
    for (size, seed) in sizes.iter().flat_map(of_size) {
        let mut one = variable.set(config, size);
        one.seed = config.seed + seed;
        one.validate()?;
        all.push((size, one));
    }
    if config.simulated {
        return Ok(at_once(&all));
    }
    let mut done = Vec::new();
    for (size, config) in all {
        progress(&format!("{} {size}, seed {}", variable.word(), config.seed));
        done.push((size, run(&config, programs, progress)?));
    }
    Ok(done)
}

fn at_once(all: &[(usize, ScaleConfig)]) -> Vec<(usize, Outcome)> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..cores.min(all.len()) {
            scope.spawn(|| {
                // The largest first, so that none is left to run alone.
                while let Some((size, config)) =
                    all.iter().rev().nth(next.fetch_add(1, Ordering::Relaxed))
                {
                    let outcome = super::simulated::run(config, &mut |_| {});
                    done.lock()
                        .expect("nobody panics holding it")
                        .push((*size, outcome));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("nobody panics holding it");
    done.sort_by_key(|(size, outcome)| (*size, outcome.config.seed));
    done
}

pub fn slopes(all: &[(usize, Outcome)]) -> Vec<Slope> {
    let mut sizes: Vec<usize> = all.iter().map(|(size, _)| *size).collect();
    sizes.dedup();
    let slope = |(figure, read): &Figure| {
        let of_size = |size: &usize| {
            let own = all.iter().filter(|(one, _)| one == size);
            let mut values: Vec<f64> = own.filter_map(|(_, outcome)| read(outcome)).collect();
            values.sort_by(f64::total_cmp);
            let spread = values.first().zip(values.last());
            let spread = spread.map(|(least, most)| [*least, values[values.len() / 2], *most]);
            (*size, spread)
        };
        let points: Vec<(usize, Option<[f64; 3]>)> = sizes.iter().map(of_size).collect();
        let medians = points
            .iter()
            .filter_map(|(size, spread)| Some((*size as f64, spread.as_ref()?[1])));
        let medians: Vec<(f64, f64)> = medians.collect();
        let line = (medians.len() >= 3).then(|| Line::through(&medians));
        Slope {
            figure,
            points,
            line,
        }
    };
    FIGURES
        .iter()
        .map(slope)
        .filter(|slope| slope.points.iter().any(|(_, spread)| spread.is_some()))
        .collect()
}

pub fn table(config: &ScaleConfig, variable: Variable, seeds: u64, slopes: &[Slope]) -> String {
    let mut page = String::new();
    let way = if config.simulated {
        "simulated links"
    } else {
        "UDP on loopback"
    };
    let fault = serde_json::to_value(config.fault)
        .ok()
        .and_then(|one| one.as_str().map(String::from));
    let _ = writeln!(
        page,
        "over {}, {way}, {seeds} seeds from {}, fault {}, loss {}, period {} ms, term {} ms: median (least to most)",
        variable.word(),
        config.seed,
        fault.unwrap_or_default(),
        config.loss,
        config.period_ms,
        config.term_ms
    );
    for slope in slopes {
        let _ = write!(page, "{:<40}", slope.figure);
        for (size, spread) in &slope.points {
            let figure = spread.map_or("never".into(), |[least, median, most]| {
                format!("{} ({} to {})", short(median), short(least), short(most))
            });
            let _ = write!(page, " | {size}: {figure}");
        }
        let _ = match slope.line {
            Some(line) if line.fits() => {
                let residual = line.worst_residual * 100.0;
                writeln!(
                    page,
                    " | {} + {} each, within {residual:.1}%",
                    short(line.at_zero),
                    short(line.slope)
                )
            }
            Some(line) => writeln!(
                page,
                " | not a line (off by {:.0}%)",
                line.worst_residual * 100.0
            ),
            None => writeln!(page),
        };
    }
    page
}

fn short(value: f64) -> String {
    match value.abs() {
        big if big >= 100.0 => format!("{value:.0}"),
        some if some >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.4}"),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_found_and_what_is_none_says_so() {
        let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0), (8.0, 19.0)]);
        assert!(
            (line.at_zero - 3.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9 && line.fits()
        );
        assert!(!Line::through(&[(1.0, 1.0), (2.0, 4.0), (4.0, 16.0), (8.0, 64.0)]).fits());
        assert!(Line::through(&[(1.0, 5.0), (2.0, 5.2), (4.0, 4.9), (8.0, 5.0)]).fits());
    }
}
