//! `thistlecroft lab`: runs, comparisons, lists, reports.
use crate::scale::{ScaleArgs, SlopeArgs, scale, slope};
use crate::{End, shipped};
use clap::{Subcommand, ValueEnum};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use thistlecroft::time::Duration;
use thistlecroft_experiments::compare;
use thistlecroft_experiments::count::Counts;
use thistlecroft_experiments::peers::{self, Trial};
use thistlecroft_experiments::run::{Look, Way, run as run_once};
use thistlecroft_experiments::saturate::saturate;
use thistlecroft_experiments::scenario::{Baseline, Scenario};
use thistlecroft_experiments::summary::Summary;

#[derive(Subcommand)]
pub enum Verb {
    /// Run a scenario: a file, or one that comes with the command.
    Run {
        scenario: String,
        /// The first seed; without it, the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// How many seeds, each one higher than the one before.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Where results go: a folder for each way and seed.
        #[arg(long, default_value = "found/runs")]
        out: PathBuf,
        /// The program that is run as a relay; without it, this one.
        #[arg(long, value_name = "PROGRAM")]
        relay: Option<String>,
        /// Only these ways of the scenario (`relays` are its own), in place of all.
        #[arg(long = "way", value_name = "NAME")]
        ways: Vec<String>,
        /// In place of relays: clients dial boxes themselves.
        #[arg(long, value_enum)]
        baseline: Option<BaselineName>,
        /// Say nothing while it runs.
        #[arg(long)]
        quiet: bool,
    },
    /// Put two runs, or folders of runs, side by side.
    Compare { first: PathBuf, second: PathBuf },
    /// Count what the relays of a fleet did together, from a folder of their logs at debug.
    Count {
        folder: PathBuf,
        /// Seconds that are counted together.
        #[arg(long, default_value_t = 2.0)]
        span: f64,
    },
    /// List the scenarios that come with the command.
    List,
    /// Print the figures of all runs in a folder, and write `index.html` there that leads to each.
    Report { folder: PathBuf },
    /// Find the rate at which the stand-ins themselves are too slow here.
    Saturate {
        #[arg(long, default_value = "found/saturate")]
        out: PathBuf,
    },
    /// Print a scenario that comes with the command, to begin one's own with.
    Show { scenario: String },
    /// Measure fleets of hollow relays: what control sends and costs, how fast they agree and own,
    /// and a budget kept.
    Scale(Box<ScaleArgs>),
    /// Run `scale` at several sizes and seeds, and put a straight line through each figure.
    Slope(Box<SlopeArgs>),
    /// A process of hollow relays, for `scale`: speaks on standard input and output.
    #[command(hide = true)]
    Hollow,
    /// Measure how fast relays know of one another and what it costs: over simulated links, and as
    /// processes here.
    Peers {
        /// Sizes over simulated links.
        #[arg(long, value_delimiter = ',', default_value = "12,48,200")]
        simulated: Vec<usize>,
        /// Sizes as processes.
        #[arg(long, value_delimiter = ',')]
        processes: Vec<usize>,
        /// Parts of datagrams that are lost.
        #[arg(long, value_delimiter = ',', default_value = "0")]
        loss: Vec<f64>,
        #[arg(long, default_value = "200ms")]
        period: String,
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        #[arg(long, default_value = "found")]
        out: PathBuf,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum BaselineName {
    /// One box after the other.
    Direct,
    Random,
    /// The box with the fewest own connections.
    Least,
}

/// Set by an interrupt; a second one ends the process at once, and its children with it.
pub fn interrupted() -> Arc<AtomicBool> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // Without them the process ends at once, which loses results but leaves nothing behind.
        let _ = signal_hook::flag::register_conditional_shutdown(signal, 130, stop.clone());
        let _ = signal_hook::flag::register(signal, stop.clone());
    }
    stop
}

/// This program with these arguments.
pub fn own_program(arguments: &[&str]) -> Result<Vec<String>, End> {
    let own = std::env::current_exe()
        .map_err(|fault| End::Failed(format!("this program's own path: {fault}")))?;
    let own = own.to_string_lossy().into_owned();
    Ok(std::iter::once(own)
        .chain(arguments.iter().map(|one| (*one).to_string()))
        .collect())
}

/// This program as a relay.
pub fn own_relay() -> Result<Vec<String>, End> {
    own_program(&["serve"])
}

fn scenario(name: &str) -> Result<Scenario, End> {
    if let Some(text) = shipped::text(name) {
        return Scenario::parse(name, text).map_err(|fault| End::Failed(fault.to_string()));
    }
    if !Path::new(name).exists() && !name.contains(['/', '.']) {
        return Err(End::Wrong(format!(
            "{name}: neither a file nor one of `thistlecroft lab list`"
        )));
    }
    Scenario::read(name).map_err(End::Wrong)
}

pub fn run(verb: Verb) -> Result<(), End> {
    match verb {
        Verb::List => {
            for (name, _) in shipped::SCENARIOS {
                println!("{name:<16} {}", scenario(name)?.about);
            }
            for (name, about, _) in shipped::BUDGETS {
                println!("{name:<16} {about}");
            }
            Ok(())
        }
        Verb::Show { scenario } => {
            let text = shipped::text(&scenario)
                .or_else(|| shipped::budget(&scenario))
                .ok_or_else(|| {
                    End::Wrong(format!("{scenario}: not one of `thistlecroft lab list`"))
                })?;
            print!("{text}");
            Ok(())
        }
        Verb::Compare { first, second } => {
            let (one, two) = (
                compare::read(&first).map_err(End::Wrong)?,
                compare::read(&second).map_err(End::Wrong)?,
            );
            let names = (first.to_string_lossy(), second.to_string_lossy());
            println!("{}", compare::table((&names.0, &one), (&names.1, &two)));
            Ok(())
        }
        Verb::Count { folder, span } => {
            print!(
                "{}",
                Counts::read(&folder, span).map_err(End::Wrong)?.table()
            );
            Ok(())
        }
        Verb::Report { folder } => report(&folder),
        Verb::Scale(args) => scale(&args),
        Verb::Slope(args) => slope(&args),
        Verb::Hollow => thistlecroft_experiments::scale::work().map_err(End::Failed),
        Verb::Saturate { out } => saturation(&out),
        Verb::Run {
            scenario: name,
            seed,
            seeds,
            out,
            relay,
            ways,
            baseline,
            quiet,
        } => {
            let scenario = scenario(&name)?;
            let relay = match relay {
                Some(program) => vec![program],
                None => own_relay()?,
            };
            let mut all = Way::all(&scenario, &relay);
            if let Some(name) = ways
                .iter()
                .find(|name| !all.iter().any(|way| way.name == **name))
            {
                let known: Vec<&str> = all.iter().map(|way| way.name.as_str()).collect();
                return Err(End::Wrong(format!(
                    "no way \"{name}\"; there are {}",
                    known.join(", ")
                )));
            }
            if !ways.is_empty() {
                all.retain(|way| ways.contains(&way.name));
            }
            if let Some(baseline) = baseline {
                let (name, baseline) = match baseline {
                    BaselineName::Direct => ("direct", Baseline::Direct),
                    BaselineName::Random => ("random", Baseline::Random),
                    BaselineName::Least => ("least", Baseline::Least),
                };
                all = vec![Way {
                    name: name.into(),
                    baseline: Some(baseline),
                    relay: Vec::new(),
                    chartered: false,
                }];
            }
            let first = seed.unwrap_or(scenario.seed);
            let runs = all
                .iter()
                .flat_map(|way| (first..first + seeds).map(move |seed| (way, seed)));
            experiment(&scenario, &out, runs.collect(), quiet)
        }
        Verb::Peers {
            simulated,
            processes,
            loss,
            period,
            seeds,
            out,
        } => {
            let period = Duration::parse(&period).filter(|span| span.as_micros() >= 50_000);
            let period =
                period.ok_or_else(|| End::Wrong("--period: a span of 50ms or more".into()))?;
            if loss.iter().any(|loss| !(0.0..=0.9).contains(loss)) {
                return Err(End::Wrong("--loss: parts between 0 and 0.9".into()));
            }
            if simulated
                .iter()
                .chain(&processes)
                .any(|size| !(2..=2_000).contains(size))
            {
                return Err(End::Wrong("sizes are between 2 and 2000".into()));
            }
            let of = |size: usize| {
                let loss = loss.iter().copied();
                loss.flat_map(move |loss| {
                    (1..=seeds).map(move |seed| Trial {
                        size,
                        loss,
                        seed,
                        period,
                    })
                })
            };
            let trials: Vec<Trial> = simulated.iter().flat_map(|size| of(*size)).collect();
            let mut all = peers::simulated_all(&trials);
            // One after the other: they share the machine's cores.
            for trial in processes.iter().flat_map(|size| of(*size)) {
                let found = peers::processes(trial, &own_relay()?, &out).map_err(End::Failed)?;
                all.push((trial, found));
            }
            print!("{}", peers::table(&all));
            Ok(())
        }
    }
}

fn experiment(
    scenario: &Scenario,
    out: &Path,
    runs: Vec<(&Way, u64)>,
    quiet: bool,
) -> Result<(), End> {
    let stop = interrupted();
    let mut summaries: Vec<Summary> = Vec::new();
    for (way, seed) in runs {
        let folder = out
            .join(&scenario.name)
            .join(&way.name)
            .join(format!("seed-{seed}"));
        let mut progress = |look: &Look| {
            if !quiet {
                eprintln!("{}", progress(look));
            }
        };
        if !quiet {
            eprintln!("{} / {} / seed {seed}", scenario.name, way.name);
        }
        let done =
            run_once(scenario, way, seed, &folder, &stop, &mut progress).map_err(End::Failed)?;
        println!(
            "{}\n  report      {}",
            done.summary.page(),
            folder.join("report.html").display()
        );
        summaries.push(done.summary);
        if stop.load(Ordering::Relaxed) {
            return Err(End::Interrupted(format!(
                "interrupted; what was seen is in {}",
                out.display()
            )));
        }
    }
    // A baseline keeps no rules and is no failure.
    let broken = summaries.iter().filter(|summary| !summary.kept()).count();
    if broken > 0 {
        Err(End::Failed(format!(
            "{broken} of {} runs broke a rule",
            summaries.len()
        )))
    } else {
        Ok(())
    }
}

fn progress(look: &Look) -> String {
    let news = if look.news.is_empty() {
        String::new()
    } else {
        format!("  << {}", look.news.join(", "))
    };
    format!(
        "{:5.0} of {:.0} s  standing {:>5}  up {:>6}  busy {:>5}  failed {:>4}  moved {:>5}{news}",
        look.at.as_secs_f64(),
        look.length.as_secs_f64(),
        look.standing,
        look.up,
        look.busy,
        look.failed,
        look.moved
    )
}

fn report(folder: &Path) -> Result<(), End> {
    let summaries = compare::read(folder).map_err(End::Wrong)?;
    let mut rows = String::new();
    for summary in &summaries {
        println!("{}", summary.page());
        let path = format!(
            "{}/{}/seed-{}/report.html",
            summary.scenario, summary.way, summary.seed
        );
        let path = [
            path.as_str(),
            &path[path.find('/').map_or(0, |at| at + 1)..],
            "report.html",
        ]
        .into_iter()
        .find(|path| folder.join(path).exists())
        .unwrap_or("report.html")
        .to_string();
        rows += &format!(
            "<tr><td><a href=\"{path}\">{} / {} / {}</a><td>{}<td>{:.3}<td>{:.1}<td>{:.1}\n",
            summary.scenario,
            summary.way,
            summary.seed,
            summary.line(),
            summary.served,
            summary.set_up.p99,
            summary.lines.p99
        );
    }
    let page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Runs</title><style>body{{font:15px sans-serif;\
         margin:2em}}td,th{{padding:.2em .8em;text-align:left}}</style><h1>Runs</h1><table><tr><th>run<th>rules\
         <th>utility served<th>set-up p99, ms<th>line p99, ms\n{rows}</table></html>\n"
    );
    let path = folder.join("index.html");
    std::fs::write(&path, page)
        .map_err(|fault| End::Failed(format!("{}: {fault}", path.display())))?;
    println!("{} runs; {}", summaries.len(), path.display());
    Ok(())
}

fn saturation(out: &Path) -> Result<(), End> {
    let stop = interrupted();
    let mut told = |rate: f64, summary: &Summary| {
        println!(
            "{rate:8.0} set-ups a second: {:8.0} done, late by p99 {:8.2} ms, busiest thread {:3.0}%{}",
            summary.up as f64 / 4.0,
            summary.tool_late.p99,
            summary.tool_busy * 100.0,
            if summary.tool_was_late {
                "  too late"
            } else {
                ""
            }
        );
    };
    let rows = saturate(out, &stop, &mut told).map_err(End::Failed)?;
    let best = rows
        .iter()
        .filter(|(_, summary)| !summary.tool_was_late)
        .map(|(rate, _)| *rate)
        .fold(0.0, f64::max);
    println!("in time up to {best:.0} set-ups a second, without a relay between");
    Ok(())
}
