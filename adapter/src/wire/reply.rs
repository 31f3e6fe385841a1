//! Encodes replies: actions as fixed-size records, and a tail for text.
use super::codes::action;
use super::events::{Address, SessionKey};
use thistlecroft::time::{Duration, Instant};

const ACTION_BYTES: usize = 24;

/// An action of one instance.
pub(crate) struct Action {
    pub(crate) instance: u16,
    pub(crate) kind: ActionKind,
}

/// The action that the simulator has to take.
pub(crate) enum ActionKind {
    Connect {
        session: SessionKey,
        backend: Address,
        timeout: Duration,
    },
    Cancel {
        session: SessionKey,
        attempt: u32,
    },
    Reject {
        session: SessionKey,
        retry_after: Option<Duration>,
    },
    Fail {
        session: SessionKey,
    },
    Migrate {
        session: SessionKey,
    },
    CheckHealth {
        backend: Address,
    },
    WakeAt(Instant),
    Subscribe,
}

/// A record under construction. Fields that are not written stay zero.
struct Record {
    bytes: [u8; ACTION_BYTES],
    used: usize,
}

impl Record {
    fn new(code: u16, instance: u16) -> Record {
        let record = Record {
            bytes: [0; ACTION_BYTES],
            used: 0,
        };
        record
            .with(&code.to_le_bytes())
            .with(&instance.to_le_bytes())
    }

    fn with(mut self, field: &[u8]) -> Record {
        self.bytes[self.used..self.used + field.len()].copy_from_slice(field);
        self.used += field.len();
        self
    }

    fn with_session(self, session: SessionKey) -> Record {
        self.with(&session.to_le_bytes())
    }

    /// Appends a duration in microseconds; one that does not fit in 32 bits becomes the greatest
    /// number that does.
    fn with_duration(self, duration: Duration) -> Record {
        let micros = u32::try_from(duration.as_micros()).unwrap_or(u32::MAX);
        self.with(&micros.to_le_bytes())
    }
}

impl Action {
    fn encode(&self) -> Record {
        let record = |code| Record::new(code, self.instance);
        match &self.kind {
            ActionKind::Connect {
                session,
                backend,
                timeout,
            } => record(action::CONNECT)
                .with_session(*session)
                .with(backend)
                .with_duration(*timeout),
            ActionKind::Cancel { session, attempt } => record(action::CANCEL)
                .with_session(*session)
                .with(&(*attempt as u16).to_le_bytes()),
            ActionKind::Reject {
                session,
                retry_after,
            } => record(action::REJECT)
                .with_session(*session)
                .with_duration(retry_after.unwrap_or_default()),
            ActionKind::Fail { session } => record(action::FAIL).with_session(*session),
            ActionKind::Migrate { session } => record(action::MIGRATE).with_session(*session),
            ActionKind::CheckHealth { backend } => record(action::CHECK_HEALTH).with(backend),
            ActionKind::WakeAt(at) => record(action::WAKE_AT)
                .with(&0u64.to_le_bytes())
                .with(&at.as_micros().to_le_bytes()),
            ActionKind::Subscribe => record(action::SUBSCRIBE).with(&[1]),
        }
    }
}

/// A reply under construction.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    pub(crate) fn push_action(&mut self, action: &Action) {
        self.push_record(&action.encode());
    }

    /// Reports that the balancer of an instance has panicked with this message.
    pub(crate) fn push_panic(&mut self, instance: u16, message: &str) {
        let offset = (self.tail.len() as u32).to_le_bytes();
        let length = (message.len() as u32).to_le_bytes();
        let record = Record::new(action::PANICKED, instance);
        self.push_record(&record.with(&offset).with(&length));
        self.tail.extend_from_slice(message.as_bytes());
    }

    fn push_record(&mut self, record: &Record) {
        self.records.extend_from_slice(&record.bytes);
    }

    /// Encodes the whole reply to the batch with this number.
    pub(crate) fn encode(&self, batch: u32) -> Vec<u8> {
        let length = 4 + self.records.len() + self.tail.len();
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let header = [
            batch.to_le_bytes(),
            (length as u32).to_le_bytes(),
            count.to_le_bytes(),
        ];
        [&header.concat()[..], &self.records, &self.tail].concat()
    }
}
