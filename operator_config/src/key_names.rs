//! The names of keys as operators write them. The rest of the code uses these constants, each of
//! which is named after the field that holds the value.

/// Keys at the top level of the file.
pub(crate) mod file {
    pub(crate) const ROUTES: &str = "route";
    pub(crate) const PEERS: &str = "peers";
}

/// Keys of `[[route]]`.
pub(crate) mod route {
    pub(crate) const NAME: &str = "name";
    pub(crate) const MATCH: &str = "match";
    pub(crate) const HANDSHAKE_OBJECTIVE: &str = "handshake_target";
    pub(crate) const HANDSHAKE_TIMEOUT: &str = "dial_timeout";
    pub(crate) const CONNECT_TIMEOUT: &str = "connect_time";
    pub(crate) const MAX_ATTEMPTS: &str = "dials";
    pub(crate) const ATTEMPT_TIMEOUT_FACTOR: &str = "patience";
    pub(crate) const BACKOFF_BASE: &str = "base";
    pub(crate) const BACKOFF_CAP: &str = "cap";
    pub(crate) const STABLE_AFTER: &str = "cool_down";
    pub(crate) const MAX_RETRY_AFTER: &str = "retry_after";
    pub(crate) const IDLE_TIMEOUT: &str = "idle";
    pub(crate) const RETRY_SHARE: &str = "retry_share";
    pub(crate) const MAX_SESSIONS: &str = "at_once";
    pub(crate) const HEDGING: &str = "second_copy";
}

/// Keys of `[route.match]`.
pub(crate) mod matching {
    pub(crate) const LISTENERS: &str = "listener";
    pub(crate) const ZONES: &str = "zone";
    pub(crate) const KEY_PREFIX: &str = "key_prefix";
    pub(crate) const GROUPS: &str = "group";
}

/// Keys of `[route.second_copy]`.
pub(crate) mod hedging {
    pub(crate) const QUANTILE: &str = "quantile";
    pub(crate) const MIN_DELAY: &str = "least";
    pub(crate) const MAX_DELAY: &str = "most";
    pub(crate) const SHARE: &str = "share";
}

/// Keys of `[peers]`.
pub(crate) mod peers {
    pub(crate) const FLEET: &str = "fleet";
    pub(crate) const LISTEN: &str = "listen";
    pub(crate) const ADVERTISE: &str = "advertise";
    pub(crate) const KEY_FILE: &str = "key_file";
    pub(crate) const SEEDS: &str = "seeds";
    pub(crate) const PROBE_INTERVAL: &str = "period";
    pub(crate) const MAX_BYTES_PER_SECOND: &str = "rate";
    pub(crate) const VOTERS: &str = "voters";
    pub(crate) const PREVIOUS_VOTERS: &str = "voters_before";
    pub(crate) const GENERATION: &str = "generation";
    pub(crate) const LEASE_DURATION: &str = "lease";
}
