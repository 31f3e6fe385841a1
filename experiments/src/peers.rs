//! What knowing of one another costs and how fast it is: the same code over simulated links by the
//! hundred, and as processes of this machine.
use hdrhistogram::Histogram;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use thistlecroft::time::Duration;
use thistlecroft_peers::{Kind, MemberState, Pace, Terms};
use thistlecroft_testbed::link_fault::LinkFault;
use thistlecroft_testbed::process_cluster::{ClusterPlan, ProcessCluster};
use thistlecroft_testbed::simulated_network::{Host, SimulatedNetwork};

/// One size, under one loss, by one seed.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    pub size: usize,
    pub loss: f64,
    pub seed: u64,
    pub period: Duration,
}

/// Spans are counted in periods.
#[derive(Clone, Debug, Default)]
pub struct Found {
    /// From the start of all at once until all see all.
    pub join: Option<f64>,
    /// From a death until the first and until all hold it for gone, and the bound on that.
    pub first: Option<f64>,
    pub gone: Option<f64>,
    pub bound: f64,
    /// From a fact's saying until all know it.
    pub fact: Option<f64>,
    /// Of processes that were well, an hour of the whole fleet (at a period of a second):
    /// suspicions, and verdicts of gone.
    pub suspicions: f64,
    pub false_gone: f64,
    /// A relay, while nothing happens, a period.
    pub bytes: f64,
    /// CPU time of a relay a second, in microseconds; only processes have it.
    pub cpu_us: Option<f64>,
}

fn in_periods(span: Option<Duration>, period: Duration) -> Option<f64> {
    span.map(|span| span.as_micros() as f64 / period.as_micros() as f64)
}

pub fn simulated(trial: Trial) -> Found {
    let Trial {
        size,
        loss,
        seed,
        period,
    } = trial;
    let pace = Pace { period };
    let terms = Terms {
        fleet: "network".into(),
        secret: vec![7; 16],
        pace,
        rate: 32_768,
    };
    let mut network = SimulatedNetwork::new(terms, None, 3, seed);
    for number in 0..size {
        network.start(&format!("r{number}"), 1.0);
    }
    let mut found = Found {
        bound: pace.gone_within(size, 0).as_micros() as f64 / period.as_micros() as f64,
        ..Found::default()
    };
    found.join = in_periods(
        network.run_until(period * 400.0, SimulatedNetwork::membership_is_consistent),
        period,
    );
    network.default_link_fault.loss = loss;
    // Quiet: what it costs, and who is suspected though well.
    network.run_for(period * 60.0);
    let sent = |network: &SimulatedNetwork| {
        network
            .hosts
            .iter()
            .map(|host| host.node.counts.sent_bytes)
            .sum::<u64>()
    };
    let turns = |network: &SimulatedNetwork, to: MemberState| {
        let turns = network.hosts.iter().map(|host| {
            host.member_changes
                .iter()
                .filter(|turn| turn.state == to)
                .count()
        });
        turns.sum::<usize>() as f64
    };
    // As many periods of relays in all at each size, at least.
    let quiet = (24_000.0 / size as f64).clamp(60.0, 600.0);
    let before = (
        sent(&network),
        turns(&network, MemberState::Suspect),
        turns(&network, MemberState::Dead),
    );
    network.run_for(period * quiet);
    found.bytes = (sent(&network) - before.0) as f64 / quiet / size as f64;
    found.suspicions = (turns(&network, MemberState::Suspect) - before.1) / quiet * 3_600.0;
    found.false_gone = (turns(&network, MemberState::Dead) - before.2) / quiet * 3_600.0;
    network.act(size / 2, |host, now| {
        host.node.announce(Kind::Note, b"subject", b"value", now);
    });
    let known = |network: &SimulatedNetwork| {
        let knows = |host: &Host| {
            host.node
                .facts()
                .of_kind(Kind::Note, host.clock(network.now))
                .next()
                .is_some()
        };
        network.hosts.iter().all(knows)
    };
    found.fact = in_periods(network.run_until(period * 200.0, known), period);
    let dead = network.hosts[size - 1].node.me().clone();
    network.kill(size - 1);
    let gone = |host: &Host| host.node.state_of(&dead) == Some(MemberState::Dead);
    let first = network.run_until(period * 400.0, |network| network.hosts.iter().any(gone));
    let rest = network.run_until(period * 400.0, |network| {
        network.hosts.iter().filter(|host| host.alive).all(gone)
    });
    found.first = in_periods(first, period);
    found.gone = in_periods(first.zip(rest).map(|(first, rest)| first + rest), period);
    found
}

/// Each on a thread, as many at once as there are cores.
pub fn simulated_all(trials: &[Trial]) -> Vec<(Trial, Found)> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let next = AtomicUsize::new(0);
    let found = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while let Some(trial) = trials.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let done = (*trial, simulated(*trial));
                    found.lock().expect("nobody panics holding it").push(done);
                }
            });
        }
    });
    found.into_inner().expect("nobody panics holding it")
}

/// As processes of that program, among stand-ins of the network.
///
/// # Errors
/// One line: what could not be set up.
pub fn processes(trial: Trial, program: &[String], folder: &Path) -> Result<Found, String> {
    let Trial {
        size,
        loss,
        seed,
        period,
    } = trial;
    let pace = Pace { period };
    let folder = folder.join(format!("peers-{size}"));
    let lease = Duration::from_millis(2_000);
    let mut plan = ClusterPlan::small(program.to_vec(), size, 3.min(size), (period, lease), folder);
    (plan.seed, plan.backends.seed, plan.config.health_checks) = (seed, seed, false);
    let mut rig = ProcessCluster::open(plan)?;
    let all: Vec<usize> = (0..size).collect();
    rig.start_all(&all)?;
    let count = |rig: &ProcessCluster, name: &str| -> u64 {
        let views = all.iter().filter_map(|one| rig.membership(*one));
        views.filter_map(|view| view["counts"][name].as_u64()).sum()
    };
    let mut found = Found {
        bound: pace.gone_within(size, 0).as_micros() as f64 / period.as_micros() as f64,
        ..Found::default()
    };
    found.join = in_periods(
        rig.wait_until(period * 400.0, |rig| rig.membership_is_consistent(&all)),
        period,
    );
    rig.set_link_fault(
        &all,
        &all,
        (loss > 0.0).then(|| LinkFault {
            loss,
            ..LinkFault::default()
        }),
    );
    let cpu = |rig: &ProcessCluster| {
        all.iter()
            .filter_map(|one| rig.cpu_time(*one))
            .fold(Duration::ZERO, |sum, one| sum + one)
    };
    let quiet = Duration::from_millis(10_000);
    // News of the start has gone round by then, and voters are no longer silent.
    std::thread::sleep(thistlecroft_testbed::clock::to_std(period * 30.0));
    // Counted by probes, which come one a period: the views themselves are asked outside of it.
    let (probes, bytes, suspected) = (
        count(&rig, "probes"),
        count(&rig, "sent_bytes"),
        count(&rig, "suspected"),
    );
    let spent = cpu(&rig);
    std::thread::sleep(thistlecroft_testbed::clock::to_std(quiet));
    found.cpu_us = Some((cpu(&rig) - spent).as_micros() as f64 / quiet.as_secs_f64() / size as f64);
    let periods = (count(&rig, "probes") - probes) as f64 / size as f64;
    found.bytes = (count(&rig, "sent_bytes") - bytes) as f64 / size as f64 / periods.max(1.0);
    found.suspicions = (count(&rig, "suspected") - suspected) as f64 / periods.max(1.0) * 3_600.0;
    rig.admin_command(size / 2, "NOTE subject value");
    let fact = rig.wait_until(period * 200.0, |rig| {
        all.iter().all(|one| {
            rig.admin_command(*one, "NOTES")
                .is_some_and(|said| said.contains("\"value\""))
        })
    });
    found.fact = in_periods(fact, period);
    rig.kill(size - 1);
    let rest = &all[..size - 1];
    let dead = format!("relay-{}", size - 1);
    let gone = |rig: &ProcessCluster, one: usize| {
        let view = rig.membership(one);
        let peers = view.as_ref().and_then(|view| view["peers"].as_array());
        peers.is_some_and(|peers| {
            peers
                .iter()
                .any(|peer| peer["name"] == dead.as_str() && peer["standing"] == "gone")
        })
    };
    let first = rig.wait_until(period * 400.0, |rig| rest.iter().any(|one| gone(rig, *one)));
    let others = rig.wait_until(period * 400.0, |rig| rest.iter().all(|one| gone(rig, *one)));
    found.first = in_periods(first, period);
    found.gone = in_periods(first.zip(others).map(|(first, rest)| first + rest), period);
    Ok(found)
}

/// A line a size and loss, over its seeds: the middle and the worst.
pub fn table(all: &[(Trial, Found)]) -> String {
    let mut page = String::from(
        "relays  loss  all see all    fact known     first gone     all gone       bound  suspicions/h  false gone/h  bytes a period  CPU us/s\n",
    );
    let sizes: BTreeSet<(usize, u64)> = all
        .iter()
        .map(|(trial, _)| (trial.size, (trial.loss * 1e3) as u64))
        .collect();
    for (size, loss) in sizes {
        let of: Vec<&Found> = all
            .iter()
            .filter(|(trial, _)| (trial.size, (trial.loss * 1e3) as u64) == (size, loss))
            .map(|(_, found)| found)
            .collect();
        let spread = |of: Vec<Option<f64>>| {
            let mut times = Histogram::<u64>::new(3).expect("three digits");
            let missing = of.iter().filter(|one| one.is_none()).count();
            for one in of.iter().flatten() {
                times
                    .record((one * 100.0) as u64)
                    .expect("it grows as needed");
            }
            let missing = if missing > 0 {
                format!(" -{missing}")
            } else {
                String::new()
            };
            let (middle, most) = (
                times.value_at_quantile(0.5) as f64 / 100.0,
                times.max() as f64 / 100.0,
            );
            format!("{:<14}", format!("{middle:.1} / {most:.1}{missing}"))
        };
        let mean = |what: fn(&Found) -> f64| {
            of.iter().map(|one| what(one)).sum::<f64>() / of.len().max(1) as f64
        };
        let cpu = of.iter().filter_map(|one| one.cpu_us).collect::<Vec<_>>();
        let cpu = match cpu.len() {
            0 => "-".into(),
            some => format!("{:.0}", cpu.iter().sum::<f64>() / some as f64),
        };
        page += &format!(
            "{size:>6}  {:>4.0}% {} {} {} {} {:>6.0}  {:>12.1}  {:>12.1}  {:>14.0}  {cpu:>8}\n",
            loss as f64 / 10.0,
            spread(of.iter().map(|one| one.join).collect()),
            spread(of.iter().map(|one| one.fact).collect()),
            spread(of.iter().map(|one| one.first).collect()),
            spread(of.iter().map(|one| one.gone).collect()),
            mean(|one| one.bound),
            mean(|one| one.suspicions),
            mean(|one| one.false_gone),
            mean(|one| one.bytes),
        );
    }
    page + "times in periods, the middle and the worst of the seeds; rates an hour, summed over all observers, at a period of a second\n"
}
