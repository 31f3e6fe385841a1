//! Observations of a run: what clients, backends, the discovery agent and the run itself saw, sent
//! from their threads to one log, in the order of time as far as threads allow.
mod ids;
mod log;
mod observation;

pub use ids::{BackendIndex, RelayIndex, SessionId};
pub use log::{EventLog, EventRecorder, event_recorder};
pub use observation::{Answer, Lifecycle, Observation, RecordedEvent, Reply};
