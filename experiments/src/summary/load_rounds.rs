//! Load reports, grouped into rounds in which all backends report.
use std::collections::BTreeMap;
use thistlecroft::time::Instant;
use thistlecroft_testbed::event_recorder::{BackendIndex, Observation, RecordedEvent};

/// The spread is not computed for rounds whose mean load is not above this.
const MIN_MEAN_LOAD: f64 = 0.01;

/// The report of one backend in a round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendLoad {
    pub(crate) backend: BackendIndex,
    /// The load divided by the capacity.
    pub(crate) load: f64,
    pub(crate) sessions: usize,
}

/// The reports of one round; all backends report at the same time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Round(pub(crate) Vec<BackendLoad>);

impl Round {
    pub(crate) fn mean_load(&self) -> f64 {
        self.0.iter().map(|backend| backend.load).sum::<f64>() / self.0.len() as f64
    }

    pub(crate) fn sessions(&self) -> usize {
        self.0.iter().map(|backend| backend.sessions).sum()
    }

    /// Returns the standard deviation of the loads divided by their mean.
    fn spread(&self) -> Option<f64> {
        let mean = self.mean_load();
        let squares = self.0.iter().map(|backend| (backend.load - mean).powi(2));
        let variance = squares.sum::<f64>() / self.0.len() as f64;
        (mean > MIN_MEAN_LOAD).then(|| variance.sqrt() / mean)
    }
}

/// Returns the rounds of a run by their times.
pub(crate) fn rounds(events: &[RecordedEvent]) -> BTreeMap<Instant, Round> {
    let mut rounds: BTreeMap<Instant, Round> = BTreeMap::new();
    for event in events {
        if let Observation::BackendLoad {
            backend,
            load,
            sessions,
            ..
        } = event.observation
        {
            rounds.entry(event.at).or_default().0.push(BackendLoad {
                backend,
                load,
                sessions,
            });
        }
    }
    rounds
}

/// Figures over all rounds of a run.
pub(super) struct LoadFigures {
    pub(super) mean_spread: f64,
    pub(super) max_load: f64,
    pub(super) max_sessions: usize,
}

impl LoadFigures {
    pub(super) fn new(events: &[RecordedEvent]) -> LoadFigures {
        let rounds = rounds(events);
        let spreads: Vec<f64> = rounds.values().filter_map(Round::spread).collect();
        let loads = rounds.values().flat_map(|round| &round.0);
        LoadFigures {
            mean_spread: spreads.iter().sum::<f64>() / spreads.len().max(1) as f64,
            max_load: loads.map(|backend| backend.load).fold(0.0, f64::max),
            max_sessions: rounds.values().map(Round::sessions).max().unwrap_or(0),
        }
    }
}
