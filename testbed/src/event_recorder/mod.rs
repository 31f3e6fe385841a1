//! Records what the clients, backends, discovery agents, relay observers and the run itself
//! observe. Their threads send the observations to one log, where they arrive roughly in
//! chronological order.
mod ids;
mod log;
mod observation;

pub use ids::{BackendIndex, RelayIndex, SessionId};
pub use log::{EventLog, EventRecorder, event_recorder};
pub use observation::{Answer, Lifecycle, Observation, RecordedEvent, Reply};
