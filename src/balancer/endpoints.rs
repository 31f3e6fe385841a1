//! The endpoint list, bans, and the counts of connections at backends.
use super::backend_state::{Backend, Outage};
use super::task_queue::Task;
use super::{BACKOFF_BASE, BACKOFF_CAP, Balancer};
use crate::driver::Driver;
use crate::endpoint::{Endpoint, EndpointState, UpdateKind};
use crate::ids::BackendId;
use crate::time::Instant;
use std::collections::BTreeSet;

/// Longest wait for a new subscription, as a share of the time within which the list must be
/// polled.
const MAX_SUBSCRIBE_WAIT_SHARE: f64 = 0.5;

impl Balancer {
    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&mut self, kind: UpdateKind, endpoints: &[Endpoint]) {
        if kind != UpdateKind::Delta {
            self.remove_unlisted(endpoints);
        }
        for endpoint in endpoints {
            let backend = self
                .backends
                .entry(endpoint.backend)
                .or_insert_with(|| Backend::new(*endpoint));
            if backend.endpoint.started_at != endpoint.started_at {
                backend.reset(*endpoint);
            }
            backend.endpoint = *endpoint;
        }
        if kind != UpdateKind::CachedSnapshot {
            self.discovery_failures = 0;
        }
    }

    /// Stops sending new sessions to backends that drain, until the endpoint list says otherwise.
    pub fn drain_backends(&mut self, backends: &[BackendId]) {
        for backend_id in backends {
            if let Some(backend) = self.backends.get_mut(backend_id) {
                backend.endpoint.state = EndpointState::Draining;
            }
        }
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<BackendId> = endpoints.iter().map(|listed| listed.backend).collect();
        for (backend_id, backend) in &mut self.backends {
            if !listed.contains(backend_id) {
                backend.endpoint.state = EndpointState::Removed;
            }
        }
    }

    /// Handles a failed call of discovery or a broken subscription. Full jitter spreads the relays'
    /// new subscriptions. They come well within `poll_within`, after which a relay would be taken
    /// to know a list that it never received.
    pub fn discovery_failed(&mut self, now: Instant, driver: &mut dyn Driver) {
        let Some(poll_within) = self.deployment.poll_within else {
            return;
        };
        let wait = self
            .jittered_backoff(self.discovery_failures, BACKOFF_BASE, BACKOFF_CAP)
            .min(poll_within * MAX_SUBSCRIBE_WAIT_SHARE);
        self.discovery_failures += 1;
        self.schedule(now + wait, Task::Subscribe, driver);
    }

    /// Bans a backend on behalf of an operator, or lifts its ban. After a ban the backend counts as
    /// restarted, and nothing that was known of it holds.
    pub fn set_banned(&mut self, now: Instant, backend_id: BackendId, is_banned: bool) {
        if is_banned {
            self.bans.entry(backend_id).or_insert(now);
        } else if let Some(banned_at) = self.bans.remove(&backend_id)
            && let Some(backend) = self.backends.get_mut(&backend_id)
        {
            backend.reset(backend.endpoint);
            backend.outage = Some(Outage {
                from: banned_at,
                until: now,
            });
        }
    }

    /// Returns the backends that take new connections, ordered by id.
    pub(super) fn ready_backends(&self) -> impl Iterator<Item = (BackendId, &Backend)> {
        self.backends
            .iter()
            .map(|(&backend_id, backend)| (backend_id, backend))
            .filter(|(_, backend)| backend.endpoint.state == EndpointState::Ready)
            .filter(|(backend_id, _)| !self.bans.contains_key(backend_id))
    }

    /// Counts one more connection at a backend, and in the connection's group if it has one.
    pub(super) fn add_connection(&mut self, backend_id: BackendId, group: Option<u64>) {
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        backend.connections += 1;
        if let Some(group) = group {
            *backend.group_connections.entry(group).or_default() += 1;
        }
    }

    /// Counts one connection fewer at a backend, and in the connection's group if it has one.
    pub(super) fn remove_connection(&mut self, backend_id: BackendId, group: Option<u64>) {
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        backend.connections = backend.connections.saturating_sub(1);
        if let Some(group) = group {
            let members = backend.group_connections.entry(group).or_default();
            *members = members.saturating_sub(1);
            if *members == 0 {
                backend.group_connections.remove(&group);
            }
        }
    }
}
