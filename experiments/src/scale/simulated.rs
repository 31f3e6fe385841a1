//! Runs a scale test over simulated links: all members are in this process, on a simulated clock.
use super::Progress;
use super::assignment::{Assignment, subject_number};
use super::config::{Fault, MAX_SEEDS, ScaleConfig};
use super::layout::Role;
use super::meter::{Meter, Traffic};
use super::outcome::{Convergence, Outcome, Phase};
use super::ownership_observer::{OwnershipObserver, epochs_not_grown, two_owners};
use std::collections::BTreeSet;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_peers::MemberState;
use thistlecroft_testbed::simulated_network::{Host, SimulatedNetwork};

/// Simulated time between two updates of the assignments and observations of owners.
const STEP: Duration = Duration::from_millis(250);
const STEPS_PER_SECOND: u64 = 4;
/// Timeout for the fleet to converge, in probe periods.
const CONVERGENCE_TIMEOUT_PERIODS: f64 = 400.0;
/// Probe periods in which gossip about the last change ends, however small the fleet is.
const SETTLING_PERIODS: f64 = 20.0;
/// Further probe periods for each member.
const SETTLING_PERIODS_PER_MEMBER: f64 = 0.25;

pub(super) fn run(config: &ScaleConfig, progress: Progress<'_>) -> Outcome {
    let began = std::time::Instant::now();
    let mut fleet = Fleet::start(config);
    let mut phases = Vec::new();
    let everyone: BTreeSet<usize> = (0..config.layout().size()).collect();
    let started = fleet.converge(std::slice::from_ref(&everyone), progress);
    phases.push(fleet.phase("start", Some(started)));
    fleet.run_settling_time(progress);
    phases.push(fleet.phase("settle", None));
    fleet.run_for(Duration::from_millis(config.calm_s * 1_000));
    phases.push(fleet.phase("calm", None));
    match config.fault {
        Fault::None => {}
        Fault::Region => {
            let sides = fleet.cut_region();
            let cut = fleet.converge(&sides, progress);
            fleet.run_for(Duration::from_millis(config.cut_s * 1_000));
            phases.push(fleet.phase("fault", Some(cut)));
            fleet.network.heal_partitions();
            let healed = fleet.converge(std::slice::from_ref(&everyone), progress);
            phases.push(fleet.phase("healed", Some(healed)));
            fleet.run_settling_time(progress);
            phases.push(fleet.phase("settle", None));
        }
        fault => {
            let lost = config.layout().killed_by(fault);
            lost.iter().for_each(|member| fleet.network.kill(*member));
            let rest = everyone
                .iter()
                .copied()
                .filter(|member| !lost.contains(member))
                .collect();
            let after = fleet.converge(&[rest], progress);
            phases.push(fleet.phase("fault", Some(after)));
            fleet.run_settling_time(progress);
            phases.push(fleet.phase("settle", None));
        }
    }
    let owned_at_end = fleet.owned_subjects();
    let holdings = fleet.observer.into_holdings();
    Outcome {
        config: config.clone(),
        phases,
        relay: None,
        voter: None,
        real_relays: None,
        two_owners: two_owners(&holdings),
        epochs_not_grown: epochs_not_grown(&holdings),
        holdings: holdings.len(),
        owned_at_end,
        late_ms: None,
        took_s: began.elapsed().as_secs_f64(),
    }
}

struct Fleet<'a> {
    config: &'a ScaleConfig,
    network: SimulatedNetwork,
    assignments: Vec<Assignment>,
    /// For each member: the number of its member changes that its assignment accounts for.
    applied_changes: Vec<usize>,
    meters: Vec<Meter>,
    observer: OwnershipObserver,
    steps: u64,
    phase_began: Instant,
}

impl<'a> Fleet<'a> {
    fn start(config: &'a ScaleConfig) -> Fleet<'a> {
        let layout = config.layout();
        let seeds = MAX_SEEDS.min(layout.size());
        let voter_leases = config.lease_config(Role::Voter);
        let mut network = SimulatedNetwork::new(
            config.node_config(Role::Voter),
            Some(voter_leases),
            seeds,
            config.seed,
        );
        network.default_link_fault.loss = config.loss;
        let drift = 1.0 + thistlecroft_leases::MAX_CLOCK_DRIFT * 0.5;
        for member in 0..layout.size() {
            if member == config.voters {
                network.set_rates(
                    config.node_config(Role::Relay).max_bytes_per_second,
                    config.lease_config(Role::Relay).update_rate,
                );
            }
            let speed = if member % 2 == 0 { drift } else { 1.0 / drift };
            network.start(&layout.name(member), speed);
        }
        Fleet {
            config,
            assignments: (0..layout.size())
                .map(|member| Assignment::new(layout, config.subjects, member))
                .collect(),
            applied_changes: vec![usize::MAX; layout.size()],
            meters: vec![Meter::default(); layout.size()],
            observer: OwnershipObserver::default(),
            network,
            steps: 0,
            phase_began: Instant::default(),
        }
    }

    fn step(&mut self) {
        self.network.run_for(STEP);
        self.steps += 1;
        for member in 0..self.assignments.len() {
            let host = &self.network.hosts[member];
            if host.alive && self.applied_changes[member] != host.member_changes.len() {
                self.applied_changes[member] = host.member_changes.len();
                let assignment = &mut self.assignments[member];
                self.network.with_host(member, |host, now| {
                    if let Some(leases) = &mut host.leases {
                        assignment.apply(&host.node, leases, now);
                    }
                });
            }
        }
        let now = self.network.now;
        for (member, host) in self
            .network
            .hosts
            .iter()
            .enumerate()
            .filter(|(_, host)| host.alive)
        {
            self.observer.observe(member, holdings(host, now), now);
        }
        if self.steps.is_multiple_of(STEPS_PER_SECOND) {
            for (meter, host) in self
                .meters
                .iter_mut()
                .zip(&self.network.hosts)
                .filter(|(_, host)| host.alive)
            {
                meter.record_second(&host.node.counts);
            }
        }
    }

    fn run_for(&mut self, span: Duration) {
        let until = self.network.now + span;
        while self.network.now < until {
            self.step();
        }
    }

    /// Runs until the members of each side see exactly their side and all subjects are owned, or
    /// until the timeout.
    fn converge(&mut self, sides: &[BTreeSet<usize>], progress: Progress<'_>) -> Convergence {
        let began = self.network.now;
        let mut converged = Convergence::default();
        let timeout = self.config.period() * CONVERGENCE_TIMEOUT_PERIODS;
        while converged.members_s.is_none() || converged.owned_s.is_none() {
            self.step();
            let passed = self.network.now.duration_since(began);
            if converged.members_s.is_none() && sides.iter().all(|side| self.is_consistent(side)) {
                converged.members_s = Some(passed.as_secs_f64());
            }
            if self.owned_subjects() == self.config.subjects {
                converged.owned_s = converged.owned_s.or(Some(passed.as_secs_f64()));
            } else {
                converged.owned_s = None;
            }
            if self.steps.is_multiple_of(STEPS_PER_SECOND * 5) {
                progress(&format!(
                    "{:.0} s: {} subjects owned",
                    self.network
                        .now
                        .duration_since(Instant::default())
                        .as_secs_f64(),
                    self.owned_subjects()
                ));
            }
            if passed >= timeout {
                break;
            }
        }
        converged
    }

    /// Runs until gossip about the last change has ended, and members send only what a calm fleet
    /// sends.
    fn run_settling_time(&mut self, progress: Progress<'_>) {
        progress(&format!(
            "{:.0} s: waiting until gossip about the last change has ended",
            self.network
                .now
                .duration_since(Instant::default())
                .as_secs_f64()
        ));
        self.run_for(
            self.config.period()
                * (SETTLING_PERIODS + SETTLING_PERIODS_PER_MEMBER * self.assignments.len() as f64),
        );
    }

    fn is_consistent(&self, side: &BTreeSet<usize>) -> bool {
        let layout = self.config.layout();
        let sees_only_side = |host: &Host| {
            let live = host
                .node
                .members()
                .filter(|view| view.state <= MemberState::Suspect);
            live.filter_map(|view| layout.member(&view.id.name))
                .all(|member| side.contains(&member))
        };
        side.iter().all(|member| {
            let host = &self.network.hosts[*member];
            host.node.fleet_size() == side.len() && sees_only_side(host)
        })
    }

    fn owned_subjects(&self) -> usize {
        let now = self.network.now;
        let held = |host: &Host| {
            let leases = host.leases.iter();
            leases
                .map(|leases| leases.holdings(host.clock(now)).count())
                .sum::<usize>()
        };
        self.network
            .hosts
            .iter()
            .filter(|host| host.alive)
            .map(held)
            .sum()
    }

    /// Cuts the first region off from the other zones and returns both sides.
    fn cut_region(&mut self) -> [BTreeSet<usize>; 2] {
        let layout = self.config.layout();
        let is_first = |member: &usize| layout.zone(*member) < self.config.first_region_zones;
        let (first, second): (Vec<usize>, Vec<usize>) = (0..layout.size()).partition(is_first);
        self.network.partition(&first, &second);
        [first.into_iter().collect(), second.into_iter().collect()]
    }

    fn phase(&mut self, name: &str, converged: Option<Convergence>) -> Phase {
        let layout = self.config.layout();
        let all: Vec<(Role, Traffic)> = self
            .meters
            .iter_mut()
            .enumerate()
            .filter(|(member, _)| self.network.hosts[*member].alive)
            .map(|(member, meter)| (layout.role(member), meter.take_phase()))
            .collect();
        let seconds = self
            .network
            .now
            .duration_since(self.phase_began)
            .as_secs_f64();
        self.phase_began = self.network.now;
        Phase::new(name, seconds, &all, converged)
    }
}

fn holdings(host: &Host, now: Instant) -> impl Iterator<Item = (usize, u64)> + '_ {
    let own = host.clock(now);
    let held = host
        .leases
        .iter()
        .flat_map(move |leases| leases.holdings(own));
    held.filter_map(|(subject, held)| Some((subject_number(subject)?, held.epoch)))
}
