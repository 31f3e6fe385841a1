//! Why a scale test could not be run.
use super::config::InvalidOption;
use std::io;
use thiserror::Error;

/// What could not be set up, or what ended early.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// An option is out of its range.
    #[error(transparent)]
    InvalidOption(#[from] InvalidOption),
    /// The machine is too small for the fleet.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// The program of the hollow relays is not named.
    #[error("no program to run as hollow relays")]
    NoProgram,
    /// A process of hollow relays can't be started.
    #[error("a process of hollow relays: {0}")]
    Spawn(#[source] io::Error),
    /// A process was started without pipes.
    #[error("no pipes to a process")]
    NoPipes,
    /// A process can't be written to.
    #[error("process {process} of hollow relays: {source}")]
    Command {
        /// The process's number.
        process: usize,
        /// Why not.
        source: io::Error,
    },
    /// A command is no JSON.
    #[error("{0}")]
    Encoding(#[from] serde_json::Error),
    /// A process says that it failed.
    #[error("process {process}: {reason}")]
    Process {
        /// The process's number.
        process: usize,
        /// What it says.
        reason: String,
    },
    /// Processes that owe an answer.
    #[error("{0} processes of hollow relays do not answer")]
    NoAnswer(usize),
    /// Nobody is left.
    #[error("all processes have ended")]
    AllEnded,
    /// The system refused something to a process of hollow relays.
    #[error("{0}")]
    System(#[from] io::Error),
    /// Real relays could not be started.
    #[error("{0}")]
    RealRelays(String),
}

/// What this machine has too little of.
#[derive(Debug, Error)]
pub enum MachineError {
    /// Too many processes.
    #[error("{needed} processes; {allowed} at most, so give --each-process")]
    Processes {
        /// How many the fleet needs.
        needed: usize,
        /// How many there may be.
        allowed: usize,
    },
    /// Too little memory.
    #[error(
        "{needed_mib} MiB are needed for {relays} hollow relays; half of this machine's memory \
         is {half_mib} MiB"
    )]
    Memory {
        /// What the fleet needs.
        needed_mib: u64,
        /// The hollow relays.
        relays: usize,
        /// Half of the machine's memory.
        half_mib: u64,
    },
}
