//! `thistlecroft check`: checks files for errors without running anything.
use crate::error::CommandError;
use clap::Args;
use std::path::{Path, PathBuf};
use thistlecroft_experiments::scale::{Budget, BudgetError};
use thistlecroft_experiments::scenario::{MalformedScenario, Scenario};
use thistlecroft_operator_config::{
    ConfigError, DEFAULT_ROUTE, EffectiveValue, LimitsIds, OperatorConfig, RelayContext,
    RouteTable, ValueOrigin,
};
use thistlecroft_relay::{
    ConfigError as StartupConfigError, StartupConfig, read_config_file, relay_context,
};

#[derive(Args)]
pub(crate) struct CheckArgs {
    /// Files to check: scenarios, budgets and operator configurations end in `.toml`, all others
    /// are relay configurations.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Relay configuration for which to check operator configurations, as a relay does when it
    /// starts.
    #[arg(long, env = "ROUTER_CONFIG")]
    config: Option<PathBuf>,
    /// Print every effective value of operator configurations and its origin; needs `--config`.
    #[arg(long)]
    effective: bool,
    /// Compare two files of one kind, the current and a new one: print which changes a running
    /// relay applies on SIGHUP, and which need a restart.
    #[arg(long)]
    against: bool,
}

/// A file in which no error was found.
enum CheckedFile {
    Configuration(Box<StartupConfig>),
    Scenario(Box<Scenario>),
    OperatorConfig {
        config: Box<OperatorConfig>,
        /// The routes as they apply to the relay of `--config`; none without that flag.
        routes: Option<RouteTable>,
    },
    Budget(Budget),
}

/// Why a file can't be used. The strings are file names, for errors that don't contain the name.
enum FileError {
    Unreadable(String, std::io::Error),
    Configuration(StartupConfigError),
    Scenario(MalformedScenario),
    Budget(String, BudgetError),
    OperatorConfig(Vec<ConfigError>),
}

impl FileError {
    /// Returns one line for each error in the file.
    fn lines(&self) -> Vec<String> {
        match self {
            FileError::Unreadable(name, error) => vec![format!("{name}: {error}")],
            FileError::Configuration(error) => vec![error.to_string()],
            FileError::Scenario(error) => vec![error.to_string()],
            FileError::Budget(name, error) => vec![format!("{name}: {error}")],
            FileError::OperatorConfig(errors) => errors.iter().map(ToString::to_string).collect(),
        }
    }
}

/// Checks every file and reports each error on its own line.
pub(crate) fn run(args: &CheckArgs) -> Result<(), CommandError> {
    let context = match &args.config {
        Some(path) => Some(read_relay_context(path)?),
        None => None,
    };
    let mut errors = Vec::new();
    let mut checked_files = Vec::new();
    let mut limits_ids = LimitsIds::default();
    for path in &args.files {
        match read_checked_file(path, context.as_ref(), &mut limits_ids) {
            Ok(checked) => {
                println!("{}: {}", path.display(), describe(&checked));
                if args.effective {
                    print_effective_values(&checked)?;
                }
                checked_files.push(checked);
            }
            Err(error) => errors.extend(error.lines()),
        }
    }
    if !errors.is_empty() {
        return Err(CommandError::InvalidInput(CommandError::join(&errors)));
    }
    if args.against {
        return print_changes(&checked_files);
    }
    Ok(())
}

fn read_relay_context(path: &Path) -> Result<RelayContext, CommandError> {
    let config = read_config_file(&path.to_string_lossy()).map_err(CommandError::invalid)?;
    Ok(relay_context(&config.settings, config.socket_limit))
}

fn read_checked_file(
    path: &Path,
    context: Option<&RelayContext>,
    limits_ids: &mut LimitsIds,
) -> Result<CheckedFile, FileError> {
    let name = path.to_string_lossy();
    if path.extension().is_none_or(|extension| extension != "toml") {
        return read_config_file(&name)
            .map(|config| CheckedFile::Configuration(Box::new(config)))
            .map_err(FileError::Configuration);
    }
    let text = std::fs::read_to_string(path)
        .map_err(|source| FileError::Unreadable(name.to_string(), source))?;
    if is_scenario(&text) {
        let scenario = Scenario::parse(&name, &text).map_err(FileError::Scenario)?;
        return Ok(CheckedFile::Scenario(Box::new(scenario)));
    }
    if Budget::is_budget(&text) {
        let budget =
            Budget::parse(&text).map_err(|error| FileError::Budget(name.to_string(), error))?;
        return Ok(CheckedFile::Budget(budget));
    }
    let config = OperatorConfig::parse(&name, &text).map_err(FileError::OperatorConfig)?;
    let routes = context
        .map(|context| config.resolve(context, limits_ids))
        .transpose()
        .map_err(FileError::OperatorConfig)?;
    Ok(CheckedFile::OperatorConfig {
        config: Box::new(config),
        routes,
    })
}

/// Returns whether the text is a scenario: only scenarios set `length` or define listeners.
fn is_scenario(text: &str) -> bool {
    text.lines().any(|line| line.starts_with("length")) || text.contains("[[listener]]")
}

fn describe(checked: &CheckedFile) -> String {
    match checked {
        CheckedFile::Configuration(config) => format!(
            "a relay's configuration: {} at {}, listeners {}",
            config.name,
            config.listen,
            config.settings.listeners.join(", ")
        ),
        CheckedFile::Scenario(scenario) => format!(
            "a scenario: {} relays, {} boxes, {} faults",
            scenario.relays.count,
            scenario.fleet.backends,
            scenario.faults.len()
        ),
        CheckedFile::OperatorConfig { config, routes } => {
            let soundness = match routes {
                Some(_) => "sound for this configuration",
                None => "sound by itself; --config holds it against a relay's configuration",
            };
            let routes = config.route_count();
            format!("an operator configuration: {routes} routes, {soundness}")
        }
        CheckedFile::Budget(budget) => {
            format!("a budget for lab scale: {} limits", budget.limit_count())
        }
    }
}

fn print_effective_values(checked: &CheckedFile) -> Result<(), CommandError> {
    let CheckedFile::OperatorConfig { routes, .. } = checked else {
        return Ok(());
    };
    let Some(routes) = routes else {
        return Err(CommandError::invalid(
            "--effective needs --config: what holds depends on it",
        ));
    };
    let mut previous: Option<&EffectiveValue> = None;
    for value in routes.effective_values() {
        let is_same_row =
            previous.is_some_and(|row| row.route == value.route && row.listener == value.listener);
        if !is_same_row {
            let route = match value.route.as_str() {
                DEFAULT_ROUTE => "sessions that no route matches",
                name => name,
            };
            println!("  {route}, listener {}", value.listener);
        }
        let origin = match value.origin {
            ValueOrigin::File(line) => format!("line {line}"),
            ValueOrigin::Settings => "settings".into(),
            ValueOrigin::BuiltIn => "built in".into(),
        };
        println!("    {:<18} {:<60} {origin}", value.key, value.value);
        previous = Some(value);
    }
    Ok(())
}

fn print_changes(checked_files: &[CheckedFile]) -> Result<(), CommandError> {
    match checked_files {
        [
            CheckedFile::OperatorConfig {
                routes: Some(old), ..
            },
            CheckedFile::OperatorConfig {
                routes: Some(new), ..
            },
        ] => {
            print_route_changes(old, new);
            Ok(())
        }
        [
            CheckedFile::OperatorConfig { .. },
            CheckedFile::OperatorConfig { .. },
        ] => Err(CommandError::invalid(
            "--against needs --config for operator configurations: what they change depends on it",
        )),
        [
            CheckedFile::Configuration(old),
            CheckedFile::Configuration(new),
        ] => {
            print_configuration_changes(old, new);
            Ok(())
        }
        _ => Err(CommandError::invalid(
            "--against compares two operator configurations, or two configurations",
        )),
    }
}

fn print_route_changes(old: &RouteTable, new: &RouteTable) {
    let changes = old.changes_to(new);
    println!("taken up on SIGHUP, by the sessions that come from then on:");
    for change in &changes {
        println!("  {change}");
    }
    if changes.is_empty() {
        println!("  nothing: both files have the same effect");
    }
    println!("needs a restart: nothing");
}

fn print_configuration_changes(old: &StartupConfig, new: &StartupConfig) {
    let discovery = if old.discovery == new.discovery {
        "nothing".into()
    } else {
        new.discovery.to_string()
    };
    println!("taken up on SIGHUP: discovery: {discovery}");
    let keys = old.source.differing_keys(&new.source);
    let keys = if keys.is_empty() {
        "nothing".into()
    } else {
        keys.join(", ")
    };
    println!("needs a restart: {keys}");
}
