//! The command `thistlecroft`. Its exit codes are: 0 for success; 1 if a rule was broken, a relay
//! failed or the request could not be carried out; 2 if the command line or a file is invalid;
//! 130 if it was interrupted.
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

/// A balancer for long-lived connections, and the tools that test it.
#[derive(Parser)]
#[command(name = "thistlecroft", version, propagate_version = true)]
struct CommandLine {
    /// Format of the log on standard error; `RUST_LOG` sets the log level.
    #[arg(long, value_enum, default_value_t = LogFormat::Text, global = true)]
    log_format: LogFormat,
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a relay until SIGTERM stops it, as the program `thistlecroft-relay` does.
    Serve(serve::ServeArgs),
    /// Check files for errors without running anything: relay configurations (.json), scenarios,
    /// operator configurations and budgets (.toml).
    Check(check::CheckArgs),
    /// Print the reference of the operator configuration or an example; formerly `charter`.
    #[command(subcommand, alias = "charter")]
    OperatorConfig(operator_config::OperatorConfigVerb),
    /// Show two relays at work while one backend goes silent and another drains; needs no files.
    Demo(demo::DemoArgs),
    /// Ask running relays how they see their peers, and show where their views differ.
    Peers(peers::PeersArgs),
    /// Run and compare experiments; formerly `lab`.
    #[command(subcommand, alias = "lab")]
    Experiment(experiment::ExperimentVerb),
    /// Write a completion script for a shell to standard output.
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
