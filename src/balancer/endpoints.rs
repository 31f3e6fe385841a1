//! The endpoint list, bans, and the connections that backends hold.
use super::backend_state::{Backend, Outage};
use super::task_queue::Task;
use super::{BACKOFF_BASE, BACKOFF_CAP, Balancer};
use crate::driver::Driver;
use crate::endpoint::{Endpoint, EndpointState, UpdateKind};
use crate::ids::BackendId;
use crate::time::Instant;
use std::collections::BTreeSet;

/// The longest wait for a new subscription, as a part of the time within which the list has to be
/// polled.
const MAX_SUBSCRIBE_WAIT_SHARE: f64 = 0.5;

impl Balancer {
    /// Takes in an update of the endpoint list.
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

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<BackendId> = endpoints.iter().map(|listed| listed.backend).collect();
        for (backend_id, backend) in &mut self.backends {
            if !listed.contains(backend_id) {
                backend.endpoint.state = EndpointState::Removed;
            }
        }
    }

    /// A call of discovery failed or the subscription broke. Full jitter spreads the relays, well
    /// within the time after which they would be taken to know what they never received.
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

    /// An operator bans a backend or lifts its ban. After a ban it counts as restarted, and nothing
    /// that was known of it holds.
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

    /// The backends that take new connections, by their id.
    pub(super) fn ready_backends(&self) -> impl Iterator<Item = (BackendId, &Backend)> {
        self.backends
            .iter()
            .map(|(&backend_id, backend)| (backend_id, backend))
            .filter(|(_, backend)| backend.endpoint.state == EndpointState::Ready)
            .filter(|(backend_id, _)| !self.bans.contains_key(backend_id))
    }

    /// Counts one more connection of a group at a backend.
    pub(super) fn add_connection(&mut self, backend_id: BackendId, group: Option<u64>) {
        let Some(backend) = self.backends.get_mut(&backend_id) else {
            return;
        };
        backend.connections += 1;
        if let Some(group) = group {
            *backend.group_connections.entry(group).or_default() += 1;
        }
    }

    /// Counts one connection of a group at a backend less.
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
