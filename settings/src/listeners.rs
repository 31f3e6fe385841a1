//! The section `listeners`: the listeners of the deployment and the limits of their sessions.
use crate::SettingsError;
use crate::permissions::PermissionsText;
use serde::Deserialize;
use thistlecroft::balancer::{ATTEMPT_TIMEOUT_FACTOR, BACKOFF_BASE, BACKOFF_CAP, STABLE_AFTER};
use thistlecroft::deployment::{DeduplicationScope, Idempotency, Route};
use thistlecroft::time::Duration;

#[derive(Deserialize)]
pub(crate) struct ListenerText {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "deadlineUs")]
    client_timeout_us: u64,
    #[serde(rename = "handshakeTargetUs")]
    handshake_objective_us: u64,
    #[serde(rename = "effect")]
    idempotency: IdempotencyText,
    #[serde(default, rename = "dedupScope")]
    deduplication_scope: Option<ScopeText>,
    #[serde(default, rename = "dedupWindowUs")]
    deduplication_window_us: Option<u64>,
    #[serde(rename = "utility")]
    priority_weight: f64,
}

#[derive(Clone, Copy, Deserialize)]
enum IdempotencyText {
    #[serde(rename = "retryable")]
    Idempotent,
    #[serde(rename = "dedup")]
    Keyed,
    #[serde(rename = "fragile")]
    NonIdempotent,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "camelCase")]
enum ScopeText {
    All,
    Zone,
    Cell,
}

impl ListenerText {
    pub(crate) fn client_timeout(&self) -> Duration {
        Duration::from_micros(self.client_timeout_us)
    }

    /// Returns the route of the listener.
    ///
    /// # Errors
    /// Returns an error if the listener is keyed and does not state which backends recognise a
    /// repeated request, or for how long.
    pub(crate) fn route(&self, permissions: &PermissionsText) -> Result<Route, SettingsError> {
        Ok(Route {
            handshake_objective: Duration::from_micros(self.handshake_objective_us),
            idempotency: self.idempotency()?,
            priority_weight: self.priority_weight,
            connect_timeout: permissions.connect_timeout(),
            max_attempts: permissions.max_attempts,
            max_retry_after: permissions.max_retry_after(),
            attempt_timeout_factor: ATTEMPT_TIMEOUT_FACTOR,
            backoff_base: BACKOFF_BASE,
            backoff_cap: BACKOFF_CAP,
            stable_after: STABLE_AFTER,
            ..Route::default()
        })
    }

    fn idempotency(&self) -> Result<Idempotency, SettingsError> {
        match self.idempotency {
            IdempotencyText::Idempotent => Ok(Idempotency::Idempotent),
            IdempotencyText::NonIdempotent => Ok(Idempotency::NonIdempotent),
            IdempotencyText::Keyed => Ok(Idempotency::Keyed {
                scope: self.deduplication_scope()?,
                window: self.deduplication_window()?,
            }),
        }
    }

    fn deduplication_scope(&self) -> Result<DeduplicationScope, SettingsError> {
        match self.deduplication_scope {
            Some(ScopeText::All) => Ok(DeduplicationScope::All),
            Some(ScopeText::Zone) => Ok(DeduplicationScope::Zone),
            Some(ScopeText::Cell) => Ok(DeduplicationScope::Cell),
            None => Err(self.missing("dedupScope")),
        }
    }

    fn deduplication_window(&self) -> Result<Duration, SettingsError> {
        let window_us = self.deduplication_window_us;
        window_us
            .map(Duration::from_micros)
            .ok_or_else(|| self.missing("dedupWindowUs"))
    }

    fn missing(&self, key: &'static str) -> SettingsError {
        SettingsError::MissingDeduplicationKey {
            name: self.name.clone(),
            key,
        }
    }
}

pub(crate) fn check(listeners: &[ListenerText]) -> Result<(), SettingsError> {
    if listeners.is_empty() {
        return Err(SettingsError::NoListeners);
    }
    for (index, ListenerText { name, .. }) in listeners.iter().enumerate() {
        if listeners[index].client_timeout_us == 0 {
            return Err(SettingsError::ZeroDeadline { name: name.clone() });
        }
        let is_repeated = listeners[..index].iter().any(|other| other.name == *name);
        if !name.is_empty() && is_repeated {
            return Err(SettingsError::RepeatedListener { name: name.clone() });
        }
    }
    Ok(())
}
