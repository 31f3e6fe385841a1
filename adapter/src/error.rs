//! Why the program stops: errors of the input, and of standard input and output.
use thiserror::Error;
use thistlecroft_settings::SettingsError;

/// Why the program stops.
#[derive(Debug, Error)]
pub(crate) enum AdapterError {
    /// A batch is malformed.
    #[error(transparent)]
    Batch(#[from] BatchError),
    /// An event of a batch can't be handled.
    #[error("batch {batch}: {source}")]
    Record {
        batch: u32,
        #[source]
        source: RecordError,
    },
    /// Standard output can't be written.
    #[error("output: {0}")]
    Output(#[source] std::io::Error),
}

/// Why a batch can't be read.
#[derive(Debug, Error)]
pub(crate) enum BatchError {
    #[error("input ends inside a batch header, after {bytes} bytes")]
    IncompleteHeader { bytes: usize },
    #[error("input: {0}")]
    Input(#[source] std::io::Error),
    #[error("batch {batch}: cut off after {bytes} of {length} bytes")]
    IncompleteBody {
        batch: u32,
        bytes: usize,
        length: usize,
    },
    #[error("batch {batch}: length {length} has no room for the record count")]
    NoRecordCount { batch: u32, length: usize },
    #[error("batch {batch}: {records} records do not fit in {length} bytes")]
    TooManyRecords {
        batch: u32,
        records: usize,
        length: usize,
    },
}

/// Why an event can't be handled, with its index in the batch.
#[derive(Debug, Error)]
#[error("record {index}: {source}")]
pub(crate) struct RecordError {
    pub(crate) index: usize,
    #[source]
    pub(crate) source: EventError,
}

/// Why an event can't be handled.
#[derive(Debug, Error)]
pub(crate) enum EventError {
    #[error("event for instance {instance}, which is not started")]
    NotStarted { instance: u16 },
    #[error("unknown event code {code}")]
    UnknownEvent { code: u16 },
    #[error("unknown outcome {code}")]
    UnknownOutcome { code: u16 },
    #[error("list of unknown scope {code}")]
    UnknownUpdateKind { code: u8 },
    #[error("entry of unknown readiness {code}")]
    UnknownEndpointState { code: u8 },
    #[error("note of unknown sort {code}")]
    UnknownObservation { code: u8 },
    #[error("listener {index} of {count}")]
    UnknownListener { index: u16, count: usize },
    /// A part of the batch's tail that an event refers to does not exist.
    #[error("{part} reaches past the tail")]
    OutsideTail { part: &'static str },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
