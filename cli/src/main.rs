//! The command `thistlecroft`. Exit codes: 0 success; 1 a rule was broken, a relay failed, or what
//! was asked for could not be done; 2 the command line or a file is wrong; 130 interrupted.
mod check;
mod demo;
mod error;
mod experiment;
mod interrupt;
mod logging;
mod operator_config;
mod own_program;
mod peers;
mod serve;
mod shipped;

use clap::{CommandFactory, Parser, Subcommand};
use error::CommandError;
use logging::LogFormat;
use std::process::ExitCode;

/// A balancer for long-lived connections, and what it is tried with.
#[derive(Parser)]
#[command(name = "thistlecroft", version, propagate_version = true)]
struct CommandLine {
    /// How the log on standard error is written; `RUST_LOG` sets how much.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Serve as a relay until told to stop (SIGTERM); what `thistlecroft-relay` does.
    Serve(serve::ServeArgs),
    /// Say whether files are sound: relay configurations (.json), scenarios and operator
    /// configurations (.toml).
    Check(check::CheckArgs),
    /// About the operator configuration; `charter` is the verb's former name.
    #[command(subcommand, alias = "charter")]
    OperatorConfig(operator_config::OperatorConfigVerb),
    /// Show two relays among backends of which one goes silent and another drains; needs nothing.
    Demo(demo::DemoArgs),
    /// Show how relays that know of one another see each other.
    Peers(peers::PeersArgs),
    /// Run and compare experiments; `lab` is the verb's former name.
    #[command(subcommand, alias = "lab")]
    Experiment(experiment::ExperimentVerb),
    /// Write completions for a shell to standard output.
    Completions { shell: clap_complete::Shell },
}

impl Verb {
    fn run(self) -> Result<(), CommandError> {
        match self {
            Verb::Serve(args) => serve::run(&args),
            Verb::Check(args) => check::run(&args),
            Verb::OperatorConfig(verb) => {
                operator_config::run(&verb);
                Ok(())
            }
            Verb::Demo(args) => demo::run(&args),
            Verb::Peers(args) => peers::run(&args),
            Verb::Experiment(verb) => experiment::run(verb),
            Verb::Completions { shell } => {
                write_completions(shell);
                Ok(())
            }
        }
    }
}

fn write_completions(shell: clap_complete::Shell) {
    let mut command = CommandLine::command();
    clap_complete::generate(shell, &mut command, "thistlecroft", &mut std::io::stdout());
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let is_serving = matches!(command_line.verb, Verb::Serve(_));
    logging::init(command_line.log_format, is_serving);
    match command_line.verb.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("thistlecroft: {error}");
            error.exit_code()
        }
    }
}
