//! A scenario worked out from its seed: who comes when, and what happens when. The same scenario
//! and seed give the same plan, whatever is run under it. No I/O.
use crate::scenario::{Baseline, EffectText, FaultText, Rate, Scenario, ScopeText, Which, Word};
use thistlecroft::deployment::{DeduplicationScope, Idempotency};
use thistlecroft::random::Rng;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::backend_model::{BackendCapacity, WarmUp};
use thistlecroft_testbed::cluster_invariants::ClusterLimits;
use thistlecroft_testbed::event_recorder::{BackendIndex, RelayIndex};
use thistlecroft_testbed::invariant_checker::PlatformRules;
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::load_generator::{ClientDistribution, LoadCommand, Misbehavior};
use thistlecroft_testbed::relay_process::{FleetConfig, ListenerConfig};
use thistlecroft_testbed::simulated_backends::{
    AgentFault, BackendCommand, BackendFault, BackendPlan, BackendSpec,
};
use thistlecroft_testbed::traffic::{Arrival, Burst, ClientProfile, Traffic, arrivals};

/// Something that the one who directs has done.
#[derive(Clone, Debug)]
pub enum Act {
    SimulatedBackends(BackendCommand),
    LoadGenerator(LoadCommand),
    /// Killed outright, back after so long.
    Kill(RelayIndex, Option<Duration>),
    /// Told to stop, and the next one started after so long.
    Stop(RelayIndex, Option<Duration>),
    HangUp(RelayIndex),
    /// The next of the scenario's charters.
    Recharter(RelayIndex),
    /// Another process of it beside this one, which is told to stop once that is ready.
    Upgrade(RelayIndex),
    /// Taken out by hand at that relay, or put back.
    Ban(RelayIndex, BackendIndex, bool),
    /// Stands still, or goes on.
    Still(RelayIndex, bool),
    /// One that has not run yet, or was told to stop, starts.
    Start(RelayIndex),
    /// Told to stop, and stays away.
    Leave(RelayIndex),
    Link(
        Vec<(RelayIndex, RelayIndex)>,
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

pub fn dealing(baseline: Option<Baseline>) -> ClientDistribution {
    match baseline {
        None | Some(Baseline::Direct) => ClientDistribution::RoundRobin,
        Some(Baseline::Random) => ClientDistribution::Random,
        Some(Baseline::Least) => ClientDistribution::LeastConnections,
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
                rushes.push(Burst {
                    begin: from,
                    clients: fault.clients.unwrap_or_default(),
                    duration: over,
                });
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
            idempotency: scenario
                .listeners
                .iter()
                .map(|row| effect(row.get_ref()))
                .collect(),
            hedged: vec![scenario.relays.two_dials; scenario.listeners.len()],
            drain_grace: scenario.fleet.grace.0,
            backend_locations: ground
                .backends
                .iter()
                .map(|plan| (plan.zone.clone(), plan.cell))
                .collect(),
        };
        let together = &scenario.together;
        let pact = ClusterLimits {
            max_sessions: together.at_once.map(|most| {
                (
                    most,
                    together.over_for.map_or(Duration::ZERO, |over| over.0),
                )
            }),
            max_attempts_per_second: together.dials_a_second,
            ban_replication_time: together.bans_within.map(|within| within.0),
            allows_takeover: false,
            requires_consistent_membership: together.agree,
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

fn traffic_of(scenario: &Scenario, rushes: Vec<Burst>) -> Traffic {
    let text = &scenario.traffic;
    let kinds = scenario
        .listeners
        .iter()
        .map(|row| row.get_ref())
        .map(|row| ClientProfile {
            name: row.name.clone(),
            share: row.share,
            answer_timeout: row.wait.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            load: (row.load[0], row.load[1]),
            mean_lifetime: row.life.0,
            priority_weight: row.utility,
        });
    let rate = match &text.rate {
        Rate::Even(rate) => vec![(BEGIN, *rate)],
        Rate::Steps(steps) => steps
            .iter()
            .map(|(at, rate)| (BEGIN + at.0, *rate))
            .collect(),
    };
    Traffic {
        profiles: kinds.collect(),
        rate,
        bursts: rushes,
        keys: text.keys.max(1),
        groups: text.groups,
        retries: text.retries,
        heeds_retry_after: text.heeds,
        backoff: text.back_off.0,
        reconnect_delay: (text.rejoin[0].0, text.rejoin[1].0),
        impatient_share: text.impatient,
        message_interval: text.beat.0,
    }
}

fn ground_of(scenario: &Scenario, seed: u64) -> BackendPlan {
    let fleet = &scenario.fleet;
    let cold = WarmUp {
        initial_share: fleet.cold_share,
        duration: fleet.warm_up.0,
        overload_factor: fleet.cold_factor,
        overload_window: fleet.cold_window.0,
        turnover_time: fleet
            .turnover
            .map_or_else(|| turnover(scenario), |turnover| turnover.0),
    };
    let make = BackendCapacity {
        full_load: fleet.capacity,
        max_sessions: fleet.most,
        setup_time: fleet.set_up.0,
        group_load: fleet.group_fee,
        warm_up: cold,
    };
    let boxes = (0..fleet.boxes).map(|number| BackendSpec {
        capacity: make,
        zone: fleet.zones[number % fleet.zones.len()].clone(),
        cell: 0,
        initially_running: number < fleet.boxes - fleet.later,
    });
    BackendPlan {
        backends: boxes.collect(),
        relays: scenario.relays.count,
        announcement_delay: (fleet.notice[0].0, fleet.notice[1].0),
        setup_store: fleet.store_lanes.map(|lanes| (lanes, fleet.store_time.0)),
        report_interval: fleet.report_every.0,
        reports_load: fleet.tells_load,
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
            answer_timeout: row.wait.0,
            handshake_target: row.handshake_target.0,
            message_target: row.message_target.0,
            idempotency: effect(row),
            priority_weight: row.utility,
        });
    FleetConfig {
        zones: fleet.zones.clone(),
        listeners: listeners.collect(),
        connect_timeout: relays.connect_time.0,
        max_attempts: relays.most_dials,
        max_retry_after: relays.retry_after.map(|longest| longest.0),
        health_checks: relays.probes,
        groups: scenario.traffic.groups.is_some(),
        reports_load: fleet.tells_load,
        warm_up_initial_share: fleet.cold_share,
        warm_up: fleet.warm_up.0,
        warm_up_overload_factor: fleet.cold_factor,
        warm_up_overload_window: fleet.cold_window.0,
        memory_mb: relays.memory_mb,
        sockets: relays.sockets,
        hedging: relays.two_dials,
        peers: relays.peers,
    }
}

/// What faults there are and which keys each needs besides `at` and `what`.
pub const FAULTS: &[(&str, &str)] = &[
    ("silent", "boxes"),
    ("freeze", "boxes"),
    ("mute", "boxes"),
    ("slow", "boxes, times"),
    ("pauses", "boxes, every, pause"),
    ("errors", "boxes, part"),
    ("reset-before", "boxes"),
    ("reset-after", "boxes"),
    ("half-answer", "boxes"),
    ("never-closes", "boxes"),
    ("drops-young", "boxes"),
    ("crash", "boxes"),
    ("drain", "boxes, over"),
    ("join", "boxes"),
    ("discovery-silent", "relays"),
    ("discovery-down", "relays"),
    ("discovery-stale", "relays"),
    ("discovery-restart", "relays"),
    ("discovery-malformed", "relays"),
    ("relay-killed", "relays"),
    ("relay-replaced", "relays"),
    ("relay-paused", "relays, for"),
    ("relay-joins", "relays"),
    ("relay-leaves", "relays"),
    ("link", "from, to"),
    ("link-flaps", "from, to, every, pause, for"),
    ("partition", "relays"),
    ("upgrade", "relays"),
    ("ban", "boxes, relays, for"),
    ("reload", "relays, every, for"),
    ("charter-swap", "relays, every, for"),
    ("rush", "clients, over"),
    ("clients-drop", "clients, over"),
    ("clients-silent", "clients"),
    ("clients-half-a-line", "clients"),
    ("clients-garbage", "clients"),
    ("clients-talk", "clients"),
    ("clients-unreading", "clients"),
];

/// # Errors
/// What is wrong with a fault, beginning with the key.
pub fn check_fault(fault: &FaultText, scenario: &Scenario) -> Result<(), String> {
    let Some((_, needs)) = FAULTS.iter().find(|(what, _)| *what == fault.what) else {
        let known: Vec<&str> = FAULTS.iter().map(|(what, _)| *what).collect();
        return Err(format!(
            "what: there is no \"{}\"; there are {}",
            fault.what,
            known.join(", ")
        ));
    };
    let has = |key: &str| match key {
        "boxes" => fault.boxes.is_some(),
        "relays" => fault.relays.is_some(),
        "times" => fault.times.is_some(),
        "part" => fault.part.is_some(),
        "every" => fault.every.is_some(),
        "pause" => fault.pause.is_some(),
        "clients" => fault.clients.is_some(),
        "over" => fault.over.is_some(),
        "from" => fault.from.is_some(),
        "to" => fault.to.is_some(),
        _ => fault.lasts.is_some(),
    };
    if let Some(missing) = needs.split(", ").find(|key| !has(key)) {
        return Err(format!("{missing}: \"{}\" needs it", fault.what));
    }
    let within = |which: &Option<Which>, name: &str, most: usize| match which {
        Some(Which::These(these)) => match these.iter().find(|number| **number >= most) {
            Some(number) => Err(format!(
                "{name}: there is no {number}, they are counted from 0 to {}",
                most - 1
            )),
            None => Ok(()),
        },
        Some(Which::Count(count)) if *count > most => Err(format!("{name}: there are only {most}")),
        _ => Ok(()),
    };
    within(&fault.boxes, "boxes", scenario.fleet.boxes)?;
    within(&fault.relays, "relays", scenario.relays.count)?;
    within(&fault.from, "from", scenario.relays.count)?;
    within(&fault.to, "to", scenario.relays.count)?;
    if matches!(fault.what.as_str(), "link" | "link-flaps" | "partition") && !scenario.relays.peers
    {
        return Err("what: the relays do not know of one another (relays.peers)".into());
    }
    for (name, part) in [("loss", fault.loss), ("doubled", fault.doubled)] {
        if part.is_some_and(|part| !(0.0..=1.0).contains(&part)) {
            return Err(format!("{name}: between 0 and 1"));
        }
    }
    if fault.at > scenario.length {
        return Err("at: the run is over by then".into());
    }
    if fault.part.is_some_and(|part| !(0.0..=1.0).contains(&part)) {
        return Err("part: between 0 and 1".into());
    }
    if fault
        .times
        .is_some_and(|times| times.is_nan() || times < 1.0)
    {
        return Err("times: 1 or more".into());
    }
    if let (Some(every), Some(pause)) = (fault.every, fault.pause)
        && every <= pause
    {
        return Err("pause: shorter than `every`".into());
    }
    if matches!(fault.what.as_str(), "upgrade" | "ban") && !scenario.relays.operators {
        return Err("what: the relays have no operators (relays.operators)".into());
    }
    if fault.what == "charter-swap" && scenario.relays.charters.is_empty() {
        return Err("what: the relays have no charters to swap".into());
    }
    if matches!(fault.what.as_str(), "reload" | "charter-swap")
        && fault.every.is_some_and(|every| every.0.as_micros() < 1_000)
    {
        return Err("every: a millisecond at least".into());
    }
    if fault.clients.is_some_and(|clients| clients > 1_000_000) {
        return Err("clients: a million at most".into());
    }
    Ok(())
}

fn drawn(which: &Option<Which>, of: usize, chance: &mut Rng) -> Vec<usize> {
    let count = match which {
        None => return Vec::new(),
        Some(Which::These(these)) => return these.clone(),
        Some(Which::Count(count)) => *count,
        Some(Which::Word(Word::Half)) => of.div_ceil(2),
        Some(Which::Word(Word::All)) => of,
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
    let boxes: Vec<BackendIndex> = boxes
        .into_iter()
        .map(|number| BackendIndex(number as u16))
        .collect();
    let relays = drawn(&fault.relays, scenario.relays.count, chance);
    let relays: Vec<RelayIndex> = relays
        .into_iter()
        .map(|number| RelayIndex(number as u16))
        .collect();
    let over = fault.over.map_or(Duration::ZERO, |over| over.0);
    let back = fault.back.map(|back| back.0);
    let span = |time: Option<crate::spans::Time>| time.map_or(Duration::ZERO, |time| time.0);
    let ailment = match fault.what.as_str() {
        "silent" => Some(BackendFault::Unreachable),
        "freeze" => Some(BackendFault::Frozen),
        "mute" => Some(BackendFault::Unresponsive),
        "slow" => Some(BackendFault::Slow(fault.times.unwrap_or(1.0))),
        "pauses" => Some(BackendFault::PeriodicPause(
            span(fault.every),
            span(fault.pause),
        )),
        "errors" => Some(BackendFault::ErrorRate(fault.part.unwrap_or(1.0))),
        "reset-before" => Some(BackendFault::ResetOnAccept),
        "reset-after" => Some(BackendFault::ResetOnRequest),
        "half-answer" => Some(BackendFault::PartialAnswer),
        "never-closes" => Some(BackendFault::NeverCloses),
        "drops-young" => Some(BackendFault::ResetAfterSetup),
        _ => None,
    };
    let agent = match fault.what.as_str() {
        "discovery-silent" => Some(AgentFault::Silent),
        "discovery-down" => Some(AgentFault::Unavailable),
        "discovery-stale" => Some(AgentFault::Stale),
        "discovery-restart" => Some(AgentFault::StateLost),
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
                    Act::SimulatedBackends(BackendCommand::InjectFault(at, ailment)),
                );
                if let Some(to) = to {
                    add(to, Act::SimulatedBackends(BackendCommand::ClearFault(at)));
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
                        Act::SimulatedBackends(BackendCommand::Start(at)),
                    );
                }
            }
            (None, "ban") => {}
            _ => add(from, Act::SimulatedBackends(BackendCommand::Start(at))),
        }
    }
    for &relay in &relays {
        match (agent, fault.what.as_str()) {
            (Some(agent), _) => {
                add(
                    from,
                    Act::SimulatedBackends(BackendCommand::SetAgentFault(relay, agent, true)),
                );
                if let Some(to) = to {
                    add(
                        to,
                        Act::SimulatedBackends(BackendCommand::SetAgentFault(relay, agent, false)),
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
        add(
            from,
            Act::LoadGenerator(LoadCommand::DropConnections(clients, over)),
        );
    } else if let Some((rude, _)) = Misbehavior::ALL
        .iter()
        .find(|(_, name)| *name == fault.what)
    {
        add(
            from,
            Act::LoadGenerator(LoadCommand::AddMisbehaving(*rude, clients)),
        );
    }
    (acts, to)
}

/// What is between relays: each directed pair of those named, or both directions between these and
/// all others.
fn link_acts(
    fault: &FaultText,
    scenario: &Scenario,
    these: &[RelayIndex],
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
                    .map(|one| RelayIndex(one as u16))
                    .filter(|one| !these.contains(one))
            };
            let both =
                |one: RelayIndex| others().flat_map(move |other| [(one, other), (other, one)]);
            let links: Vec<(RelayIndex, RelayIndex)> =
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
                    .map(|number| RelayIndex(number as u16))
                    .collect::<Vec<_>>()
            };
            let (from, to) = (some(&fault.from), some(&fault.to));
            let pairs = from
                .iter()
                .flat_map(|one| to.iter().map(move |other| (*one, *other)));
            let links: Vec<(RelayIndex, RelayIndex)> =
                pairs.filter(|(one, other)| one != other).collect();
            let span =
                |time: Option<crate::spans::Time>| time.map_or(Duration::ZERO, |time| time.0);
            let bent = fault.delay.is_some()
                || fault.spread.is_some()
                || fault.doubled.is_some()
                || fault.rate.is_some();
            let link_fault = LinkFault {
                loss: fault.loss.unwrap_or(if bent { 0.0 } else { 1.0 }),
                delay: span(fault.delay),
                jitter: span(fault.spread),
                duplication: fault.doubled.unwrap_or(0.0),
                bytes_per_second: fault.rate.unwrap_or(0),
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

    #[test]
    fn what_is_wrong_is_named_with_its_line_and_key() {
        // What is replaced by what, the line, the key, and a part of the reason.
        let cases = [
            (
                "length = \"10s\"",
                "length = \"10\"",
                3,
                "length",
                "no span of time",
            ),
            (
                "length = \"10s\"",
                "length = 10",
                3,
                "length",
                "expected a string",
            ),
            (
                "length = \"10s\"",
                "lenght = \"10s\"",
                3,
                "lenght",
                "unknown field",
            ),
            ("length = \"10s\"", "length = \"10s", 3, "length", ""),
            (
                "length = \"10s\"\n",
                "",
                1,
                "the whole",
                "missing field `length`",
            ),
            (
                "boxes = 6",
                "boxes = 0",
                5,
                "fleet.boxes",
                "between 1 and 5000",
            ),
            ("boxes = 6", "boxes = -1", 5, "fleet.boxes", "invalid value"),
            (
                "boxes = 6",
                "boxes = 6\nzones = []",
                6,
                "fleet.zones",
                "at least one",
            ),
            (
                "boxes = 6",
                "boxes = 6\nlater = 6",
                6,
                "fleet.later",
                "from the start",
            ),
            (
                "[\"5s\", 50.0]",
                "[\"0s\", 50.0]",
                7,
                "traffic.rate",
                "times must rise",
            ),
            (
                "[\"5s\", 50.0]",
                "[\"5s\", -1.0]",
                7,
                "traffic.rate",
                "between 0 and",
            ),
            (
                "[[\"0s\", 5.0], [\"5s\", 50.0]]",
                "\"many\"",
                7,
                "traffic.rate",
                "pairs",
            ),
            (
                "name = \"view\"",
                "name = \"a view\"",
                8,
                "listener",
                "name: letters",
            ),
            (
                "wait = \"1s\"",
                "wait = \"100ms\"",
                8,
                "listener",
                "wait: between the handshake target",
            ),
            (
                "wait = \"1s\"",
                "wait = \"1s\"\neffect = \"twice\"",
                11,
                "listener.effect",
                "unknown variant",
            ),
            (
                "what = \"slow\"",
                "what = \"slwo\"",
                14,
                "fault",
                "there is no \"slwo\"; there are silent",
            ),
            ("times = 4.0\n", "", 14, "fault", "times: \"slow\" needs it"),
            (
                "times = 4.0",
                "times = 0.5",
                14,
                "fault",
                "times: 1 or more",
            ),
            (
                "boxes = \"half\"",
                "boxes = [6]",
                14,
                "fault",
                "boxes: there is no 6",
            ),
            (
                "boxes = \"half\"",
                "boxes = 7",
                14,
                "fault",
                "boxes: there are only 6",
            ),
            (
                "boxes = \"half\"",
                "boxes = \"most\"",
                17,
                "fault.boxes",
                "numbers such as",
            ),
            (
                "at = \"2s\"",
                "at = \"11s\"",
                14,
                "fault",
                "at: the run is over",
            ),
        ];
        for (from, to, line, key, why) in cases {
            assert!(GOOD.contains(from), "{from}");
            let fault = Scenario::parse("bad.toml", &GOOD.replacen(from, to, 1)).expect_err(to);
            assert_eq!(
                (fault.line, fault.key.as_str()),
                (line, key),
                "{to}: {fault}"
            );
            assert!(fault.why.contains(why), "{to}: {fault}");
            assert_eq!(fault.to_string().lines().count(), 1, "{fault}");
        }
    }
}
