//! Runs a scale test with processes of hollow relays on loopback, in real time: starts the
//! processes, injects the fault, waits for the fleet to converge and measures. All processes have
//! ended when the run returns.
mod costs;
mod fleet;
mod hollow_process;

use super::config::{Fault, ScaleConfig};
use super::error::ScaleError;
use super::layout::Role;
use super::outcome::Outcome;
use super::ownership_observer::{epochs_not_grown, two_owners};
use super::real_relays::{RealFigures, RealRelays};
use super::{Programs, Progress};
use fleet::Fleet;
use std::time::{Duration, Instant};

/// Probe periods in which gossip about the last change ends, however small the fleet is.
const SETTLING_PERIODS: f64 = 20.0;
/// Further probe periods for each member.
const SETTLING_PERIODS_PER_MEMBER: f64 = 0.25;

/// Runs the scale test that `config` describes.
pub(super) fn run(
    config: &ScaleConfig,
    programs: &Programs,
    progress: Progress<'_>,
) -> Result<Outcome, ScaleError> {
    let began = Instant::now();
    let mut fleet = Fleet::start(config, programs)?;
    let size = fleet.size();
    let started = fleet.converge(size, progress)?;
    fleet.end_phase("start", Some(started))?;
    fleet.run_for(settling_time(config, size), progress)?;
    fleet.end_phase("settle", None)?;
    fleet
        .real_relays
        .iter_mut()
        .for_each(RealRelays::begin_measurement);
    fleet.run_for(Duration::from_secs(config.calm_s), progress)?;
    let real_relays: Option<RealFigures> = fleet.real_relays.as_ref().map(RealRelays::figures);
    fleet.end_phase("calm", None)?;
    let calm = fleet.costs.last().copied().unwrap_or_default();
    if config.fault != Fault::None {
        let lost = fleet.layout.killed_by(config.fault);
        fleet.kill(&lost)?;
        let converged = fleet.converge(size - lost.len(), progress)?;
        fleet.end_phase("fault", Some(converged))?;
    }
    let processes = fleet.processes.iter();
    let late_us = processes.map(|process| process.status.late_us).max();
    let owned_at_end = fleet.owned_subjects();
    let holdings = fleet.stop()?;
    Ok(Outcome {
        config: config.clone(),
        phases: std::mem::take(&mut fleet.phases),
        relay: Some(calm.with_worst(Role::Relay, &fleet.costs)),
        voter: Some(calm.with_worst(Role::Voter, &fleet.costs)),
        real_relays,
        two_owners: two_owners(&holdings),
        epochs_not_grown: epochs_not_grown(&holdings),
        holdings: holdings.len(),
        owned_at_end,
        late_ms: Some(late_us.unwrap_or(0) as f64 / 1e3),
        took_s: began.elapsed().as_secs_f64(),
    })
}

fn settling_time(config: &ScaleConfig, size: usize) -> Duration {
    let periods = SETTLING_PERIODS + SETTLING_PERIODS_PER_MEMBER * size as f64;
    Duration::from_millis((config.period_ms as f64 * periods) as u64)
}
