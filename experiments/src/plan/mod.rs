//! A scenario worked out from its seed: who comes when, and what happens when. The same scenario
//! and seed give the same plan, whatever is run under it. No I/O.
use crate::scenario::{
    Baseline, EffectText, FaultText, Rate, Scenario, ScopeText, Selection, SelectionWord,
};
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::backend_model::{BackendCapacity, WarmUp};
use thistlecroft_testbed::cluster_invariants::ClusterLimits;
use thistlecroft_testbed::event_recorder::{BackendNumber, RelayNumber};
use thistlecroft_testbed::invariant_checker::PlatformRules;
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::load_generator::{Dealing, LoadCommand, Rude};
use thistlecroft_testbed::relay_process::{FleetConfig, ListenerConfig};
use thistlecroft_testbed::simulated_backends::{
    AgentFault, BackendCommand, BackendFault, BackendPlan, BackendSpec,
};
use thistlecroft_testbed::traffic::{Arrival, Kind, Traffic, arrivals};

/// Something that the one who directs has done.
#[derive(Clone, Debug)]
pub enum Act {
    SimulatedBackends(BackendCommand),
    LoadGenerator(LoadCommand),
    /// Killed outright, back after so long.
    Kill(RelayNumber, Option<Duration>),
    /// Told to stop, and the next one started after so long.
    Stop(RelayNumber, Option<Duration>),
    HangUp(RelayNumber),
    /// The next of the scenario's charters.
    Recharter(RelayNumber),
    /// Another process of it beside this one, which is told to stop once that is ready.
    Upgrade(RelayNumber),
    /// Taken out by hand at that relay, or put back.
    Ban(RelayNumber, BackendNumber, bool),
    /// Stands still, or goes on.
    Still(RelayNumber, bool),
    /// One that has not run yet, or was told to stop, starts.
    Start(RelayNumber),
    /// Told to stop, and stays away.
    Leave(RelayNumber),
    Link(
        Vec<(RelayNumber, RelayNumber)>,
        Option<LinkFault>,
        &'static str,
    ),
}

#[derive(Clone, Debug)]
pub struct Timed {
    pub at: Instant,
    pub act: Act,
}

/// A fault as a report marks it.
#[derive(Clone, Debug, PartialEq)]
pub struct Marked {
    pub what: String,
    pub from: Instant,
    pub to: Option<Instant>,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub traffic: Traffic,
    pub arrivals: Vec<Arrival>,
    pub acts: Vec<Timed>,
    pub marks: Vec<Marked>,
    pub ground: BackendPlan,
    pub terms: FleetConfig,
    pub law: PlatformRules,
    pub pact: ClusterLimits,
    pub until: Instant,
}

/// Clients come from here on, so that all is set up before.
pub const BEGIN: Instant = Instant::from_micros(500_000);

pub fn dealing(baseline: Option<Baseline>) -> Dealing {
    match baseline {
        None | Some(Baseline::Direct) => Dealing::Even,
        Some(Baseline::Random) => Dealing::Random,
        Some(Baseline::Least) => Dealing::LeastOwn,
    }
}

impl Plan {
    pub fn of(scenario: &Scenario, seed: u64) -> Plan {
        let mut chance = Rng::from_seed(seed ^ 0x5ca1_ab1e);
        let until = BEGIN + scenario.length.0;
        let (mut acts, mut marks, mut rushes) = (Vec::new(), Vec::new(), Vec::new());
        for fault in &scenario.faults {
            let fault = fault.get_ref();
            let from = BEGIN + fault.at.0;
            if fault.what == "rush" {
                let over = fault
                    .over
                    .map_or(Duration::from_millis(1_000), |over| over.0);
                rushes.push((from, fault.clients.unwrap_or_default(), over));
                marks.push(Marked {
                    what: fault.what.clone(),
                    from,
                    to: Some(from + over),
                });
                continue;
            }
            let (some, to) = acts_of(fault, scenario, &mut chance);
            let short = fault.lasts.or(fault.over).or(fault.back);
            marks.push(Marked {
                what: fault.what.clone(),
                from,
                to: to.or(short.map(|short| from + short.0)),
            });
            acts.extend(some);
        }
        acts.sort_by_key(|timed: &Timed| timed.at);
        let traffic = traffic_of(scenario, rushes);
        let arrivals = arrivals(&traffic, until, seed);
        let ground = ground_of(scenario, seed);
        let law = PlatformRules {
            effects: scenario
                .listeners
                .iter()
                .map(|row| effect(row.get_ref()))
                .collect(),
            hedged: vec![scenario.relays.two_dials; scenario.listeners.len()],
            grace: scenario.fleet.grace.0,
            places: ground
                .boxes
                .iter()
                .map(|plan| (plan.zone.clone(), plan.cell))
                .collect(),
        };
        let together = &scenario.together;
        let pact = ClusterLimits {
            at_once: together.at_once.map(|most| {
                (
                    most,
                    together.over_for.map_or(Duration::ZERO, |over| over.0),
                )
            }),
            dials_a_second: together.dials_a_second,
            bans_within: together.bans_within.map(|within| within.0),
            takes_over: false,
            agree: together.agree,
        };
        Plan {
            seed,
            traffic,
            arrivals,
            acts,
            marks,
            ground,
            terms: terms_of(scenario),
            law,
            pact,
            until,
        }
    }
}

fn effect(row: &crate::scenario::ListenerText) -> Idempotency {
    match row.effect {
        EffectText::Repeatable => Idempotency::Idempotent,
        EffectText::OnceOnly => Idempotency::NonIdempotent,
        EffectText::Referenced => {
            let scope = match row.scope {
                ScopeText::All => DeduplicationScope::All,
                ScopeText::Zone => DeduplicationScope::Zone,
                ScopeText::Cell => DeduplicationScope::Cell,
            };
            Idempotency::Keyed {
                scope,
                window: row.window.0,
            }
        }
    }
}

fn traffic_of(scenario: &Scenario, rushes: Vec<(Instant, usize, Duration)>) -> Traffic {
    let text = &scenario.traffic;
    let kinds = scenario
        .listeners
        .iter()
        .map(|row| row.get_ref())
        .map(|row| Kind {
            name: row.name.clone(),
            share: row.share,
            wait: row.wait.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            load: (row.load[0], row.load[1]),
            life: row.life.0,
            utility: row.utility,
        });
    let rate = match &text.rate {
        Rate::Even(rate) => vec![(BEGIN, *rate)],
        Rate::Steps(steps) => steps
            .iter()
            .map(|(at, rate)| (BEGIN + at.0, *rate))
            .collect(),
    };
    Traffic {
        kinds: kinds.collect(),
        rate,
        rushes,
        keys: text.keys.max(1),
        groups: text.groups,
        retries: text.retries,
        heeds: text.heeds,
        back_off: text.back_off.0,
        rejoin: (text.rejoin[0].0, text.rejoin[1].0),
        impatient: text.impatient,
        beat: text.beat.0,
    }
}

fn ground_of(scenario: &Scenario, seed: u64) -> BackendPlan {
    let fleet = &scenario.fleet;
    let cold = WarmUp {
        start_share: fleet.cold_share,
        warm_up: fleet.warm_up.0,
        factor: fleet.cold_factor,
        window: fleet.cold_window.0,
        turnover: fleet
            .turnover
            .map_or_else(|| turnover(scenario), |turnover| turnover.0),
    };
    let make = BackendCapacity {
        capacity: fleet.capacity,
        most: fleet.most,
        setup: fleet.set_up.0,
        group_fee: fleet.group_fee,
        cold,
    };
    let boxes = (0..fleet.boxes).map(|number| BackendSpec {
        make,
        zone: fleet.zones[number % fleet.zones.len()].clone(),
        cell: 0,
        present: number < fleet.boxes - fleet.later,
    });
    BackendPlan {
        boxes: boxes.collect(),
        relays: scenario.relays.count,
        notice: (fleet.notice[0].0, fleet.notice[1].0),
        store: fleet.store_lanes.map(|lanes| (lanes, fleet.store_time.0)),
        report_every: fleet.report_every.0,
        tells_load: fleet.tells_load,
        seed,
    }
}

fn turnover(scenario: &Scenario) -> Duration {
    let rows = || scenario.listeners.iter().map(|row| row.get_ref());
    let shares: f64 = rows().map(|row| row.share).sum();
    let mean = rows()
        .map(|row| row.life.0 * (row.share / shares))
        .fold(Duration::ZERO, |sum, part| sum + part);
    mean.max(scenario.fleet.warm_up.0)
}

fn terms_of(scenario: &Scenario) -> FleetConfig {
    let (fleet, relays) = (&scenario.fleet, &scenario.relays);
    let listeners = scenario
        .listeners
        .iter()
        .map(|row| row.get_ref())
        .map(|row| ListenerConfig {
            name: row.name.clone(),
            wait: row.wait.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            effect: effect(row),
            utility: row.utility,
        });
    FleetConfig {
        zones: fleet.zones.clone(),
        listeners: listeners.collect(),
        connect_time: relays.connect_time.0,
        most_dials: relays.most_dials,
        longest_retry_after: relays.retry_after.map(|longest| longest.0),
        probes: relays.probes,
        groups: scenario.traffic.groups.is_some(),
        tells_load: fleet.tells_load,
        cold_start_share: fleet.cold_share,
        warm_up: fleet.warm_up.0,
        cold_factor: fleet.cold_factor,
        cold_window: fleet.cold_window.0,
        memory_mb: relays.memory_mb,
        sockets: relays.sockets,
        two_dials: relays.two_dials,
        peers: relays.peers,
    }
}

fn drawn(which: &Option<Selection>, of: usize, chance: &mut Rng) -> Vec<usize> {
    let count = match which {
        None => return Vec::new(),
        Some(Selection::These(these)) => return these.clone(),
        Some(Selection::Count(count)) => *count,
        Some(Selection::Word(SelectionWord::Half)) => of.div_ceil(2),
        Some(Selection::Word(SelectionWord::All)) => of,
    };
    let mut all: Vec<usize> = (0..of).collect();
    for place in 0..count {
        let other = place + chance.below((of - place) as u64) as usize;
        all.swap(place, other);
    }
    all.truncate(count);
    all.sort_unstable();
    all
}

fn acts_of(
    fault: &FaultText,
    scenario: &Scenario,
    chance: &mut Rng,
) -> (Vec<Timed>, Option<Instant>) {
    let from = BEGIN + fault.at.0;
    let to = fault.lasts.map(|lasts| from + lasts.0);
    let boxes = drawn(&fault.boxes, scenario.fleet.boxes, chance);
    let boxes: Vec<BackendNumber> = boxes
        .into_iter()
        .map(|number| BackendNumber(number as u16))
        .collect();
    let relays = drawn(&fault.relays, scenario.relays.count, chance);
    let relays: Vec<RelayNumber> = relays
        .into_iter()
        .map(|number| RelayNumber(number as u16))
        .collect();
    let over = fault.over.map_or(Duration::ZERO, |over| over.0);
    let back = fault.back.map(|back| back.0);
    let span = |time: Option<crate::scenario::duration_text::Time>| {
        time.map_or(Duration::ZERO, |time| time.0)
    };
    let ailment = match fault.what.as_str() {
        "silent" => Some(BackendFault::Vanished),
        "freeze" => Some(BackendFault::Frozen),
        "mute" => Some(BackendFault::Mute),
        "slow" => Some(BackendFault::Slow(fault.times.unwrap_or(1.0))),
        "pauses" => Some(BackendFault::Pausing(span(fault.every), span(fault.pause))),
        "errors" => Some(BackendFault::Failing(fault.part.unwrap_or(1.0))),
        "reset-before" => Some(BackendFault::ResetsBefore),
        "reset-after" => Some(BackendFault::ResetsAfter),
        "half-answer" => Some(BackendFault::HalfAnswer),
        "never-closes" => Some(BackendFault::NeverCloses),
        "drops-young" => Some(BackendFault::DropsYoung),
        _ => None,
    };
    let agent = match fault.what.as_str() {
        "discovery-silent" => Some(AgentFault::Silent),
        "discovery-down" => Some(AgentFault::Down),
        "discovery-stale" => Some(AgentFault::Stale),
        "discovery-restart" => Some(AgentFault::Restart),
        "discovery-malformed" => Some(AgentFault::Malformed),
        _ => None,
    };
    let mut acts = Vec::new();
    let mut add = |at: Instant, act: Act| acts.push(Timed { at, act });
    for &at in &boxes {
        match (ailment, fault.what.as_str()) {
            (Some(ailment), _) => {
                add(
                    from,
                    Act::SimulatedBackends(BackendCommand::Ail(at, ailment)),
                );
                if let Some(to) = to {
                    add(to, Act::SimulatedBackends(BackendCommand::Heal(at)));
                }
            }
            (None, "crash") => add(
                from,
                Act::SimulatedBackends(BackendCommand::Crash(at, back)),
            ),
            (None, "drain") => {
                add(
                    from,
                    Act::SimulatedBackends(BackendCommand::Drain(at, over)),
                );
                if let Some(back) = back {
                    add(
                        from + over + back,
                        Act::SimulatedBackends(BackendCommand::Join(at)),
                    );
                }
            }
            (None, "ban") => {}
            _ => add(from, Act::SimulatedBackends(BackendCommand::Join(at))),
        }
    }
    for &relay in &relays {
        match (agent, fault.what.as_str()) {
            (Some(agent), _) => {
                add(
                    from,
                    Act::SimulatedBackends(BackendCommand::Agent(relay, agent, true)),
                );
                if let Some(to) = to {
                    add(
                        to,
                        Act::SimulatedBackends(BackendCommand::Agent(relay, agent, false)),
                    );
                }
            }
            (None, "upgrade") => add(from, Act::Upgrade(relay)),
            (None, "ban") => {
                for &at in &boxes {
                    add(from, Act::Ban(relay, at, true));
                    add(to.unwrap_or(from), Act::Ban(relay, at, false));
                }
            }
            (None, "relay-paused") => {
                add(from, Act::Still(relay, true));
                add(to.unwrap_or(from), Act::Still(relay, false));
            }
            (None, "partition") => {}
            (None, "relay-joins") => {
                // One after the other, if they have time.
                let place = relays.iter().position(|one| *one == relay).unwrap_or(0) as f64;
                add(
                    from + over * (place / relays.len() as f64),
                    Act::Start(relay),
                );
            }
            (None, "relay-leaves") => {
                let place = relays.iter().position(|one| *one == relay).unwrap_or(0) as f64;
                add(
                    from + over * (place / relays.len() as f64),
                    Act::Leave(relay),
                );
            }
            (None, "relay-killed") => add(from, Act::Kill(relay, back)),
            (None, "relay-replaced") => {
                add(from, Act::Stop(relay, Some(back.unwrap_or(Duration::ZERO))))
            }
            _ => {
                let every = span(fault.every).max(Duration::from_millis(1));
                let mut at = from;
                while to.is_some_and(|to| at < to) {
                    add(
                        at,
                        if fault.what == "reload" {
                            Act::HangUp(relay)
                        } else {
                            Act::Recharter(relay)
                        },
                    );
                    at = at + every;
                }
            }
        }
    }
    acts.extend(link_acts(fault, scenario, &relays, chance));
    let mut add = |at: Instant, act: Act| acts.push(Timed { at, act });
    let clients = fault.clients.unwrap_or_default();
    if fault.what == "clients-drop" {
        add(from, Act::LoadGenerator(LoadCommand::Drop(clients, over)));
    } else if let Some((rude, _)) = Rude::ALL.iter().find(|(_, name)| *name == fault.what) {
        add(from, Act::LoadGenerator(LoadCommand::Rude(*rude, clients)));
    }
    (acts, to)
}

/// What is between relays: each directed pair of those named, or both directions between these and
/// all others.
fn link_acts(
    fault: &FaultText,
    scenario: &Scenario,
    these: &[RelayNumber],
    chance: &mut Rng,
) -> Vec<Timed> {
    let count = scenario.relays.count;
    let begins = BEGIN + fault.at.0;
    let ends = fault.lasts.map(|lasts| begins + lasts.0);
    let mut acts = Vec::new();
    let mut add = |at: Instant, act: Act| acts.push(Timed { at, act });
    match fault.what.as_str() {
        "partition" => {
            let others = || {
                (0..count)
                    .map(|one| RelayNumber(one as u16))
                    .filter(|one| !these.contains(one))
            };
            let both =
                |one: RelayNumber| others().flat_map(move |other| [(one, other), (other, one)]);
            let links: Vec<(RelayNumber, RelayNumber)> =
                these.iter().copied().flat_map(both).collect();
            add(
                begins,
                Act::Link(links.clone(), Some(LinkFault::CUT), "cut"),
            );
            ends.iter()
                .for_each(|ends| add(*ends, Act::Link(links.clone(), None, "cut")));
        }
        "link" | "link-flaps" => {
            let mut some = |which| {
                let all = drawn(which, count, chance);
                all.into_iter()
                    .map(|number| RelayNumber(number as u16))
                    .collect::<Vec<_>>()
            };
            let (from, to) = (some(&fault.from), some(&fault.to));
            let pairs = from
                .iter()
                .flat_map(|one| to.iter().map(move |other| (*one, *other)));
            let links: Vec<(RelayNumber, RelayNumber)> =
                pairs.filter(|(one, other)| one != other).collect();
            let span = |time: Option<crate::scenario::duration_text::Time>| {
                time.map_or(Duration::ZERO, |time| time.0)
            };
            let bent = fault.delay.is_some()
                || fault.spread.is_some()
                || fault.doubled.is_some()
                || fault.rate.is_some();
            let link_fault = LinkFault {
                loss: fault.loss.unwrap_or(if bent { 0.0 } else { 1.0 }),
                delay: span(fault.delay),
                spread: span(fault.spread),
                doubled: fault.doubled.unwrap_or(0.0),
                rate: fault.rate.unwrap_or(0),
            };
            let name = if link_fault == LinkFault::CUT {
                "cut"
            } else {
                "bent"
            };
            if fault.what == "link" {
                add(begins, Act::Link(links.clone(), Some(link_fault), name));
                ends.iter()
                    .for_each(|ends| add(*ends, Act::Link(links.clone(), None, name)));
            } else {
                let (every, pause) = (span(fault.every), span(fault.pause));
                let mut at = begins;
                while ends.is_some_and(|ends| at < ends) {
                    add(at, Act::Link(links.clone(), Some(link_fault), name));
                    add(at + pause, Act::Link(links.clone(), None, name));
                    at = at + every;
                }
            }
        }
        _ => {}
    }
    acts
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
about = "for the test"
length = "10s"
[fleet]
boxes = 6
[traffic]
rate = [["0s", 5.0], ["5s", 50.0]]
[[listener]]
name = "view"
wait = "1s"
handshake_target = "300ms"
message_target = "50ms"
life = "5s"
[[fault]]
at = "2s"
what = "slow"
boxes = "half"
times = 4.0
for = "3s"
"#;

    #[test]
    fn the_same_scenario_and_seed_give_the_same_plan() {
        let scenario = Scenario::parse("good.toml", GOOD).unwrap();
        assert_eq!(scenario.name, "good");
        let text = |seed| {
            let plan = Plan::of(&scenario, seed);
            format!("{:?} {:?}", plan.arrivals, plan.acts)
        };
        assert_eq!(text(1), text(1));
        assert_ne!(text(1), text(2));
        let plan = Plan::of(&scenario, 1);
        assert_eq!(plan.acts.len(), 6, "three boxes slow, and well again");
        assert!(plan.acts.windows(2).all(|pair| pair[0].at <= pair[1].at));
    }
}
