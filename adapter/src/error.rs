//! The errors that end the program: malformed input, and failures of standard input and output.
use thiserror::Error;
use thistlecroft_settings::SettingsError;

/// The reason why the program stops.
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
    #[error("can't write to standard output: {0}")]
    Output(#[source] std::io::Error),
}

/// The reason why a batch can't be read.
#[derive(Debug, Error)]
pub(crate) enum BatchError {
    #[error("input ends inside a batch header, after {bytes} bytes")]
    IncompleteHeader { bytes: usize },
    #[error("can't read from standard input: {0}")]
    Input(#[source] std::io::Error),
    #[error("batch {batch}: cut off after {bytes} of {length} bytes")]
    IncompleteBody {
        batch: u32,
        bytes: usize,
        length: usize,
    },
    #[error("batch {batch}: a body of {length} bytes has no room for the record count")]
    NoRecordCount { batch: u32, length: usize },
    #[error("batch {batch}: {records} records do not fit in a body of {length} bytes")]
    TooManyRecords {
        batch: u32,
        records: usize,
        length: usize,
    },
}

/// The reason why an event can't be handled, with the index of its record in the batch.
#[derive(Debug, Error)]
#[error("record {index}: {source}")]
pub(crate) struct RecordError {
    pub(crate) index: usize,
    #[source]
    pub(crate) source: EventError,
}

/// The reason why an event can't be handled.
#[derive(Debug, Error)]
pub(crate) enum EventError {
    #[error("event for instance {instance}, which is not started")]
    NotStarted { instance: u16 },
    #[error("unknown event code {code}")]
    UnknownEvent { code: u16 },
    #[error("unknown outcome code {code}")]
    UnknownOutcome { code: u16 },
    #[error("unknown update kind {code} of an endpoint list")]
    UnknownUpdateKind { code: u8 },
    #[error("unknown endpoint state {code}")]
    UnknownEndpointState { code: u8 },
    #[error("unknown observation kind {code}")]
    UnknownObservation { code: u8 },
    #[error("listener index {index} is out of range: the number of listeners is {count}")]
    UnknownListener { index: u16, count: usize },
    /// An event refers to a part of the batch's tail that does not exist.
    #[error("{part}: offset and length reach past the end of the batch's tail")]
    OutsideTail { part: &'static str },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
