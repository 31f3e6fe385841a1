//! The command `thistlecroft`. Exit codes: 0 all well; 1 a rule was broken, a relay failed, or what
//! was asked for could not be done; 2 the command line or a file is wrong; 130 interrupted.
mod checks;
mod demo;
mod experiments;
mod logs;
mod peers;
mod scale;
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
        /// An operator's charter.
        #[arg(long, env = thistlecroft_relay::CHARTER)]
        charter: Option<PathBuf>,
    },
    /// Say whether files are sound: relays' configurations (.json), scenarios and charters (.toml).
    Check(checks::Asked),
    /// About the operator's file.
    #[command(subcommand)]
    Charter(checks::CharterVerb),
    /// Show two relays among boxes of which one goes silent and another drains; needs nothing.
    Demo {
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// One line a second, even where the output is a terminal.
        #[arg(long)]
        plain: bool,
    },
    /// Show what relays that know of one another think of each other.
    Peers(peers::Asked),
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
        Verb::Serve { config, charter } => {
            let charter = charter.map(|path| path.to_string_lossy().into_owned());
            let done = thistlecroft_relay::serve(&config.to_string_lossy(), charter.as_deref());
            done.map_err(|error| End::Failed(error.lines().join("\nthistlecroft: ")))
        }
        Verb::Check(asked) => checks::check(&asked),
        Verb::Charter(verb) => checks::charter(verb),
        Verb::Demo { seed, plain } => demo::run(seed, plain),
        Verb::Peers(asked) => peers::run(&asked),
        Verb::Lab(verb) => experiments::run(verb),
        Verb::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Line::command(),
                "thistlecroft",
                &mut std::io::stdout(),
            );
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
