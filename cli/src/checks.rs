//! `thistlecroft check` and `thistlecroft charter`: what files say, without running anything.
use crate::End;
use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};
use thistlecroft_experiments::scale::Budget;
use thistlecroft_experiments::scenario::Scenario;
use thistlecroft_operator_config::{
    ConfigError, DEFAULT_ROUTE, LimitsIds, OperatorConfig, RelayContext, RouteTable, ValueOrigin,
    reference,
};
use thistlecroft_relay::{read_file, relay_context};

#[derive(Args)]
pub struct Asked {
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Hold charters against this relay's configuration, as a relay does at its start.
    #[arg(long, env = "ROUTER_CONFIG")]
    config: Option<PathBuf>,
    /// Print every value in force and where it is from.
    #[arg(long)]
    effective: bool,
    /// Two files of a kind, the one in force and a later one: print what a running relay takes up
    /// on SIGHUP, and what needs a restart.
    #[arg(long)]
    against: bool,
}

#[derive(Subcommand)]
pub enum CharterVerb {
    /// Print the reference page of its keys.
    Reference,
    /// Print an example for a small site.
    Example,
}

pub const EXAMPLE: &str = include_str!("../../deploy/charter.example.toml");

pub fn charter(verb: CharterVerb) -> Result<(), End> {
    match verb {
        CharterVerb::Reference => print!("{}", reference::reference_page()),
        CharterVerb::Example => print!("{EXAMPLE}"),
    }
    Ok(())
}

enum Sound {
    Configuration(Box<thistlecroft_relay::StartupConfig>),
    Scenario(Box<Scenario>),
    Charter(Box<OperatorConfig>, Option<RouteTable>),
    Budget(Budget),
}

fn lines(faults: Vec<ConfigError>) -> Vec<String> {
    faults.iter().map(ToString::to_string).collect()
}

fn read(
    file: &Path,
    of: Option<&RelayContext>,
    lanes: &mut LimitsIds,
) -> Result<Sound, Vec<String>> {
    let name = file.to_string_lossy();
    if file.extension().is_none_or(|ending| ending != "toml") {
        return read_file(&name)
            .map(|posting| Sound::Configuration(Box::new(posting)))
            .map_err(|error| vec![error.to_string()]);
    }
    let text = std::fs::read_to_string(file).map_err(|fault| vec![format!("{name}: {fault}")])?;
    // A scenario says how long it is; a charter never does.
    if text.lines().any(|line| line.starts_with("length")) || text.contains("[[listener]]") {
        let scenario = Scenario::parse(&name, &text).map_err(|fault| vec![fault.to_string()])?;
        return Ok(Sound::Scenario(Box::new(scenario)));
    }
    if Budget::is_one(&text) {
        let budget = Budget::parse(&text).map_err(|fault| vec![format!("{name}: {fault}")])?;
        return Ok(Sound::Budget(budget));
    }
    let charter = OperatorConfig::parse(&name, &text).map_err(lines)?;
    let routing = of
        .map(|of| charter.resolve(of, lanes))
        .transpose()
        .map_err(lines)?;
    Ok(Sound::Charter(Box::new(charter), routing))
}

/// Every file is looked at; each fault is a line.
pub fn check(asked: &Asked) -> Result<(), End> {
    let of = match &asked.config {
        Some(config) => {
            let config = read_file(&config.to_string_lossy())
                .map_err(|error| End::Wrong(error.to_string()))?;
            Some(relay_context(&config.settings, config.sockets))
        }
        None => None,
    };
    let (mut faults, mut sound, mut lanes) = (Vec::new(), Vec::new(), LimitsIds::default());
    for file in &asked.files {
        match read(file, of.as_ref(), &mut lanes) {
            Ok(read) => {
                println!("{}: {}", file.display(), describe(&read));
                if asked.effective {
                    effective(&read)?;
                }
                sound.push(read);
            }
            Err(more) => faults.extend(more),
        }
    }
    if !faults.is_empty() {
        return Err(End::Wrong(faults.join("\nthistlecroft: ")));
    }
    if asked.against {
        return against(&sound);
    }
    Ok(())
}

fn describe(read: &Sound) -> String {
    match read {
        Sound::Configuration(posting) => {
            let listeners = posting.settings.listeners.join(", ");
            format!(
                "a relay's configuration: {} at {}, listeners {listeners}",
                posting.name, posting.listen
            )
        }
        Sound::Scenario(scenario) => {
            let (boxes, relays) = (scenario.fleet.boxes, scenario.relays.count);
            format!(
                "a scenario: {relays} relays, {boxes} boxes, {} faults",
                scenario.faults.len()
            )
        }
        Sound::Charter(charter, routing) => {
            let held = match routing {
                Some(_) => "sound for this configuration",
                None => "sound by itself; --config holds it against a relay's configuration",
            };
            format!("a charter: {} routes, {held}", charter.routes.len())
        }
        Sound::Budget(budget) => format!("a budget for lab scale: {} limits", budget.limits()),
    }
}

fn effective(read: &Sound) -> Result<(), End> {
    let Sound::Charter(_, routing) = read else {
        return Ok(());
    };
    let routing = routing.as_ref();
    let routing = routing
        .ok_or_else(|| End::Wrong("--effective needs --config: what holds depends on it".into()))?;
    let mut last = (String::new(), String::new());
    for told in routing.effective_values() {
        let place = (told.route.clone(), told.listener.clone());
        if place != last {
            let route = if told.route == DEFAULT_ROUTE {
                "sessions that no route matches"
            } else {
                &told.route
            };
            println!("  {route}, listener {}", told.listener);
            last = place;
        }
        let origin = match told.origin {
            ValueOrigin::File(line) => format!("line {line}"),
            ValueOrigin::Settings => "settings".into(),
            ValueOrigin::BuiltIn => "built in".into(),
        };
        println!("    {:<18} {:<60} {origin}", told.key, told.value);
    }
    Ok(())
}

fn against(sound: &[Sound]) -> Result<(), End> {
    match sound {
        [Sound::Charter(_, Some(old)), Sound::Charter(_, Some(new))] => {
            let changes = old.changes_to(new);
            println!("taken up on SIGHUP, by the sessions that come from then on:");
            changes.iter().for_each(|change| println!("  {change}"));
            if changes.is_empty() {
                println!("  nothing: both say the same");
            }
            println!("needs a restart: nothing");
            Ok(())
        }
        [Sound::Charter(..), Sound::Charter(..)] => Err(End::Wrong(
            "--against needs --config for charters: what they change depends on it".into(),
        )),
        [Sound::Configuration(old), Sound::Configuration(new)] => {
            let differs = old.source.differing_keys(&new.source);
            let moves = old.discovery != new.discovery;
            let moves = if moves {
                new.discovery.to_string()
            } else {
                "nothing".into()
            };
            println!("taken up on SIGHUP: discovery: {moves}");
            let differs = if differs.is_empty() {
                "nothing".into()
            } else {
                differs.join(", ")
            };
            println!("needs a restart: {differs}");
            Ok(())
        }
        _ => Err(End::Wrong(
            "--against compares two charters, or two configurations".into(),
        )),
    }
}
