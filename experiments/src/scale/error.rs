//! Errors of scale tests.
use super::config::InvalidOption;
use std::io;
use thiserror::Error;

/// Why a scale test could not be started or finished.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// An option is out of its range.
    #[error(transparent)]
    InvalidOption(#[from] InvalidOption),
    /// The machine is too small for the fleet.
    #[error(transparent)]
    Machine(#[from] MachineError),
    /// The command of the processes of hollow relays is empty.
    #[error("no program is given for the processes of hollow relays")]
    MissingProgram,
    /// A process of hollow relays could not be started.
    #[error("can't start a process of hollow relays: {0}")]
    Spawn(#[source] io::Error),
    /// A process was started without pipes for its standard input and output.
    #[error("a process of hollow relays has no pipes for its standard input and output")]
    MissingPipes,
    /// A command could not be sent to a process.
    #[error("can't send a command to process {process} of hollow relays: {source}")]
    SendCommand {
        /// The process's number.
        process: usize,
        /// The error of the write.
        source: io::Error,
    },
    /// A command could not be encoded.
    #[error("can't encode a command as JSON: {0}")]
    Encoding(#[from] serde_json::Error),
    /// A process has reported that it failed.
    #[error("process {process} of hollow relays failed: {reason}")]
    ProcessFailed {
        /// The process's number.
        process: usize,
        /// The error that it reported.
        reason: String,
    },
    /// Some processes, whose number this is, did not answer a command in time.
    #[error("{0} processes of hollow relays did not answer in time")]
    NoAnswer(usize),
    /// All processes of hollow relays have exited.
    #[error("all processes of hollow relays have exited")]
    AllProcessesExited,
    /// A system call failed in a process of hollow relays.
    #[error("I/O error in a process of hollow relays: {0}")]
    Io(#[from] io::Error),
    /// The real relays could not be started.
    #[error("can't start the real relays: {0}")]
    RealRelays(String),
}

/// Why the fleet doesn't fit this machine.
#[derive(Debug, Error)]
pub enum MachineError {
    /// The fleet needs too many processes.
    #[error(
        "the fleet needs {needed} processes, but at most {allowed} are allowed: raise --each-process"
    )]
    Processes {
        /// Number of processes that the fleet needs.
        needed: usize,
        /// Number of processes that are allowed.
        allowed: usize,
    },
    /// The machine has too little memory.
    #[error(
        "{needed_mib} MiB are needed for {relays} hollow relays, but at most half of this \
         machine's memory, {half_mib} MiB, may be used"
    )]
    Memory {
        /// Memory that the fleet needs, in MiB.
        needed_mib: u64,
        /// Number of hollow relays.
        relays: usize,
        /// Half of the machine's memory, in MiB.
        half_mib: u64,
    },
}
