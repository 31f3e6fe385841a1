//! Maps the identifiers on the wire to those of the balancer, which are small indices.
use crate::wire::{Address, EndpointEntry, SessionKey};
use std::collections::HashMap;
use thistlecroft::endpoint::Endpoint;
use thistlecroft::ids::{BackendId, SessionId};

/// The identifiers of one instance. The maps are never iterated, so their random iteration order
/// has no effect.
#[derive(Default)]
pub(crate) struct IdMap {
    sessions: HashMap<SessionKey, SessionId>,
    session_keys: HashMap<u32, SessionKey>,
    next_session: u32,
    backends: HashMap<Address, BackendId>,
    addresses: Vec<Address>,
}

impl IdMap {
    /// Assigns an id to a new session.
    pub(crate) fn add_session(&mut self, key: SessionKey) -> SessionId {
        let session = SessionId(self.next_session);
        self.next_session = self.next_session.wrapping_add(1);
        self.sessions.insert(key, session);
        self.session_keys.insert(session.0, key);
        session
    }

    /// Returns the id of a session, or `None` where it was released or never added.
    pub(crate) fn session(&self, key: SessionKey) -> Option<SessionId> {
        self.sessions.get(&key).copied()
    }

    /// Returns the wire's number for a session that was not released.
    pub(crate) fn session_key(&self, session: SessionId) -> SessionKey {
        self.session_keys[&session.0]
    }

    /// Removes a session.
    pub(crate) fn release_session(&mut self, session: SessionId) {
        if let Some(key) = self.session_keys.remove(&session.0) {
            self.sessions.remove(&key);
        }
    }

    /// Returns the id of a backend, and assigns one to a new backend.
    pub(crate) fn backend_or_add(&mut self, address: Address) -> BackendId {
        *self.backends.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            BackendId((self.addresses.len() - 1) as u32)
        })
    }

    /// Returns the id of a backend, or `None` where it is unknown.
    pub(crate) fn backend(&self, address: Address) -> Option<BackendId> {
        self.backends.get(&address).copied()
    }

    /// Returns the address of a backend.
    pub(crate) fn address(&self, backend: BackendId) -> Address {
        self.addresses[backend.index()]
    }

    /// Converts an entry of the endpoint list for the balancer.
    pub(crate) fn endpoint(&mut self, entry: &EndpointEntry) -> Endpoint {
        let mut hash = [0; 8];
        hash[..entry.address.len()].copy_from_slice(&entry.address);
        Endpoint {
            backend: self.backend_or_add(entry.address),
            stable_hash: u64::from_le_bytes(hash),
            zone: entry.zone,
            cell: Some(entry.cell),
            state: entry.state,
            weight: entry.weight,
            started_at: entry.started_at,
        }
    }
}
