//! The endpoint registry: the names, ids, addresses and states of backends.
use crate::discovery::decoding::EndpointEntry;
use crate::discovery::error::EndpointError;
use crate::stable_hash::stable_hash;
use std::collections::HashMap;
use std::net::SocketAddr;
use thistlecroft::endpoint::{Endpoint, EndpointState};
use thistlecroft::ids::{BackendId, ZoneId};
use thistlecroft::time::Instant;
use thistlecroft_settings::ReportFields;

/// Maps the names of backends, which are the same at every relay, to their ids in this process, and
/// holds what is known about each backend.
pub(crate) struct EndpointRegistry {
    ids: HashMap<String, BackendId>,
    /// Indexed by `BackendId`.
    backends: Vec<Backend>,
    /// The names of zones, indexed by `ZoneId`.
    zones: Vec<String>,
    report_fields: ReportFields,
}

struct Backend {
    name: String,
    /// `None` until a list names the backend.
    address: Option<SocketAddr>,
    /// True if the backend is draining or removed according to the lists so far.
    is_leaving: bool,
    /// True while an operator's ban is in force.
    is_banned: bool,
}

impl EndpointRegistry {
    pub(crate) fn new(zones: Vec<String>, report_fields: ReportFields) -> EndpointRegistry {
        EndpointRegistry {
            ids: HashMap::new(),
            backends: Vec::new(),
            zones,
            report_fields,
        }
    }

    /// Returns true if the backend may get no new sessions.
    pub(crate) fn is_draining_or_banned(&self, id: BackendId) -> bool {
        let backend = &self.backends[id.index()];
        backend.is_leaving || backend.is_banned
    }

    /// Returns true if the backend is draining or removed according to the lists so far.
    pub(crate) fn is_leaving(&self, id: BackendId) -> bool {
        self.backends[id.index()].is_leaving
    }

    pub(super) fn set_leaving(&mut self, id: BackendId) {
        self.backends[id.index()].is_leaving = true;
    }

    pub(crate) fn set_banned(&mut self, id: BackendId, is_banned: bool) {
        self.backends[id.index()].is_banned = is_banned;
    }

    /// Returns the address of a backend, or `None` until a list names it.
    pub(crate) fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(id.index())?.address
    }

    /// Returns the name that is the same at every relay; empty for an unknown id.
    pub(crate) fn name(&self, id: BackendId) -> &str {
        let backend = self.backends.get(id.index());
        backend.map_or("", |backend| &backend.name)
    }

    /// Returns the id of the backend with this name, if it is known.
    pub(crate) fn find(&self, name: &str) -> Option<BackendId> {
        self.ids.get(name).copied()
    }

    /// Returns true if no backend has an address yet.
    pub(super) fn is_empty(&self) -> bool {
        self.backends
            .iter()
            .all(|backend| backend.address.is_none())
    }

    /// Returns the id for a name, and registers a name that is not known yet. A list that names the
    /// backend later gets the same id.
    pub(crate) fn find_or_insert(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.find(name) {
            return id;
        }
        let id = BackendId(self.backends.len() as u32);
        self.ids.insert(name.to_string(), id);
        self.backends.push(Backend {
            name: name.to_string(),
            address: None,
            is_leaving: false,
            is_banned: false,
        });
        id
    }

    /// Returns the id of a zone, and registers a zone that is not known yet. A name keeps its id as
    /// long as the process runs, even if later settings name other zones.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        ZoneId(index as u16)
    }

    /// Sets which fields of a load report are used.
    pub(crate) fn set_report_fields(&mut self, report_fields: ReportFields) {
        self.report_fields = report_fields;
    }

    /// Returns the endpoints of a list, and registers their names and addresses.
    ///
    /// # Errors
    /// Returns an error if an endpoint can't be used. The registry is then unchanged.
    pub(super) fn resolve(
        &mut self,
        endpoints: &[EndpointEntry],
    ) -> Result<Vec<Endpoint>, EndpointError> {
        // All endpoints are parsed before any is registered, so that an invalid list changes
        // nothing.
        let mut parsed = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            parsed.push((endpoint, endpoint.address()?, endpoint.state()?));
        }
        let endpoints = parsed
            .into_iter()
            .map(|(endpoint, address, state)| self.resolve_endpoint(endpoint, address, state));
        Ok(endpoints.collect())
    }

    fn resolve_endpoint(
        &mut self,
        endpoint: &EndpointEntry,
        address: SocketAddr,
        state: EndpointState,
    ) -> Endpoint {
        let backend = self.find_or_insert(&endpoint.name);
        self.backends[backend.index()].address = Some(address);
        let started_at_ms = endpoint.started_at_ms.filter(|&ms| ms > 0);
        Endpoint {
            backend,
            stable_hash: stable_hash(endpoint.name.as_bytes()),
            zone: self.zone(&endpoint.zone),
            cell: endpoint.cell(),
            state,
            weight: self.report_fields.weight(endpoint.weight.unwrap_or(1.0)),
            started_at: started_at_ms.map(|ms| Instant::from_micros(ms.saturating_mul(1_000))),
        }
    }

    /// Applies the states of a complete list: backends that it does not name are leaving.
    pub(super) fn replace_states(&mut self, endpoints: &[Endpoint]) {
        for backend in &mut self.backends {
            backend.is_leaving = true;
        }
        self.update_states(endpoints);
    }

    /// Applies the states of a delta.
    pub(super) fn update_states(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let backend = &mut self.backends[endpoint.backend.index()];
            backend.is_leaving = endpoint.state != EndpointState::Ready;
        }
    }
}
