//! The command `thistlecroft`. Exit codes: 0 all well; 1 a rule was broken, a relay failed, or what was asked for could
//! not be done; 2 the command line or a file is wrong; 130 interrupted.
mod demo;
mod experiments;
mod logs;
mod shipped;

use clap::{CommandFactory, Parser, Subcommand};
use logs::LogFormat;
use std::path::PathBuf;
use std::process::ExitCode;

/// A balancer for long-lived connections, and what it is tried with.
#[derive(Parser)]
#[command(name = "thistlecroft", version, propagate_version = true)]
struct Line {
    /// How the log on standard error is written; `RUST_LOG` sets how much.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Serve as a relay until told to stop (SIGTERM); what `thistlecroft-relay` does.
    Serve {
        /// The relay's configuration.
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
    },
    /// Say whether files are sound: a relay's configuration (.json) or a scenario (.toml).
    Check {
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show two relays among boxes of which one goes silent and another drains; needs nothing.
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// One line a second, even where the output is a terminal.
        #[arg(long)]
        plain: bool,
    },
    /// Run and compare experiments.
    #[command(subcommand)]
    Lab(experiments::Verb),
    /// Write completions for a shell to standard output.
    Completions { shell: clap_complete::Shell },
}

/// Why a command ends other than well.
pub enum End {
    /// Something broke, or could not be done.
    Failed(String),
    /// The command line or a file is wrong.
    Wrong(String),
    Interrupted(String),
}

fn main() -> ExitCode {
    let line = Line::parse();
    logs::init(line.log_format, matches!(line.verb, Verb::Serve { .. }));
    let done = match line.verb {
        Verb::Serve { config } => thistlecroft_relay::serve(&config.to_string_lossy()).map_err(End::Failed),
        Verb::Check { files } => check(&files),
        Verb::Demo { seed, plain } => demo::run(seed, plain),
        Verb::Lab(verb) => experiments::run(verb),
        Verb::Completions { shell } => {
            clap_complete::generate(shell, &mut Line::command(), "thistlecroft", &mut std::io::stdout());
            Ok(())
        }
    };
    let (code, why) = match done {
        Ok(()) => return ExitCode::SUCCESS,
        Err(End::Failed(why)) => (1, why),
        Err(End::Wrong(why)) => (2, why),
        Err(End::Interrupted(why)) => (130, why),
    };
    eprintln!("thistlecroft: {why}");
    ExitCode::from(code)
}

/// Every file is looked at; each fault is a line.
fn check(files: &[PathBuf]) -> Result<(), End> {
    let mut faults = Vec::new();
    for file in files {
        let name = file.to_string_lossy();
        let said = match file.extension().and_then(|ending| ending.to_str()) {
            Some("toml") => thistlecroft_lab::scenario::Scenario::read(&name).map(|scenario| {
                let (boxes, relays) = (scenario.fleet.boxes, scenario.relays.count);
                format!("a scenario: {relays} relays, {boxes} boxes, {} faults", scenario.faults.len())
            }),
            _ => thistlecroft_relay::read_file(&name).map(|posting| {
                let listeners = posting.site.listeners.join(", ");
                format!(
                    "a relay's configuration: {} at {}, listeners {listeners}",
                    posting.name, posting.listen
                )
            }),
        };
        match said {
            Ok(said) => println!("{name}: {said}"),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(End::Wrong(faults.join("\nthistlecroft: "))) }
}
