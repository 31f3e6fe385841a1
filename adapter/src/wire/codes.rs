//! The codes of events, actions and their fields on the wire.

/// Codes of events.
pub(super) mod event {
    pub(in crate::wire) const START: u16 = 1000;
    pub(in crate::wire) const ENDPOINTS: u16 = 1010;
    pub(in crate::wire) const SESSION_ARRIVED: u16 = 1020;
    pub(in crate::wire) const ATTEMPT_READY: u16 = 1030;
    pub(in crate::wire) const ATTEMPT_ENDED: u16 = 1040;
    pub(in crate::wire) const SESSION_LEFT: u16 = 1050;
    pub(in crate::wire) const WAKE: u16 = 1060;
    pub(in crate::wire) const HEALTH_CHECKED: u16 = 1070;
    pub(in crate::wire) const PEER_MESSAGE: u16 = 1080;
    pub(in crate::wire) const STOP: u16 = 1090;
    pub(in crate::wire) const SESSION_INHERITED: u16 = 1100;
    pub(in crate::wire) const OBSERVATION: u16 = 1110;
}

/// Codes of actions.
pub(super) mod action {
    pub(in crate::wire) const CHECK_HEALTH: u16 = 1000;
    pub(in crate::wire) const WAKE_AT: u16 = 1020;
    pub(in crate::wire) const SUBSCRIBE: u16 = 1030;
    pub(in crate::wire) const CANCEL: u16 = 1040;
    pub(in crate::wire) const CONNECT: u16 = 1050;
    pub(in crate::wire) const REJECT: u16 = 1080;
    pub(in crate::wire) const MIGRATE: u16 = 1090;
    pub(in crate::wire) const FAIL: u16 = 1110;
    pub(in crate::wire) const PANICKED: u16 = 1120;
}

/// Codes of the outcomes of attempts and health checks.
pub(super) mod outcome {
    pub(in crate::wire) const OK: u16 = 100;
    pub(in crate::wire) const ERROR: u16 = 301;
    pub(in crate::wire) const SATURATED: u16 = 302;
    pub(in crate::wire) const TIMED_OUT: u16 = 303;
    pub(in crate::wire) const UNREACHABLE: u16 = 304;
    pub(in crate::wire) const RESET: u16 = 305;
    pub(in crate::wire) const CANCELLED: u16 = 306;
    pub(in crate::wire) const NOT_SENT: u16 = 307;
}

/// Codes of the kind of an endpoint event.
pub(super) mod update {
    pub(in crate::wire) const DELTA: u8 = 0;
    pub(in crate::wire) const SNAPSHOT: u8 = 1;
    pub(in crate::wire) const CACHED_SNAPSHOT: u8 = 2;
    pub(in crate::wire) const DISCOVERY_FAILED: u8 = 3;
}

/// Codes of the states of endpoints.
pub(super) mod endpoint {
    pub(in crate::wire) const READY: u8 = 0;
    pub(in crate::wire) const REMOVED: u8 = 1;
    pub(in crate::wire) const DRAINING: u8 = 2;
}

/// Codes of the kinds of observations of an established session.
pub(super) mod observation {
    pub(in crate::wire) const LOAD: u8 = 1;
    pub(in crate::wire) const LATENCY: u8 = 2;
}
