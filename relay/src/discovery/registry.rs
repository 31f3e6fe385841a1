//! The endpoint registry: which backend is which, and where each is to be found.
use crate::discovery::decoding::EndpointText;
use crate::discovery::error::EndpointError;
use crate::stable_hash::stable_hash;
use std::collections::HashMap;
use std::net::SocketAddr;
use thistlecroft::endpoint::{Endpoint, EndpointState};
use thistlecroft::ids::{BackendId, CellId, ZoneId};
use thistlecroft::time::Instant;
use thistlecroft_settings::ReportFields;

/// Backends by the name that is the same at every relay, each with the id that it has in this
/// process.
pub(crate) struct EndpointRegistry {
    ids: HashMap<String, BackendId>,
    /// By id.
    backends: Vec<Backend>,
    /// By `ZoneId`.
    zones: Vec<String>,
    report_fields: ReportFields,
}

struct Backend {
    name: String,
    /// None where no list has named it yet.
    address: Option<SocketAddr>,
    /// Draining or gone by the last list that named it.
    is_leaving: bool,
    /// Taken out by an operator.
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

    /// True if nothing new may go there.
    pub(crate) fn is_draining_or_banned(&self, id: BackendId) -> bool {
        let backend = &self.backends[id.index()];
        backend.is_leaving || backend.is_banned
    }

    pub(crate) fn set_banned(&mut self, id: BackendId, is_banned: bool) {
        self.backends[id.index()].is_banned = is_banned;
    }

    /// None where no list has named it yet.
    pub(crate) fn address(&self, id: BackendId) -> Option<SocketAddr> {
        self.backends.get(id.index())?.address
    }

    /// The name that is the same at every relay; empty for an unknown id.
    pub(crate) fn name(&self, id: BackendId) -> &str {
        let backend = self.backends.get(id.index());
        backend.map_or("", |backend| &backend.name)
    }

    /// The id of a backend that is known by this name.
    pub(crate) fn find(&self, name: &str) -> Option<BackendId> {
        self.ids.get(name).copied()
    }

    /// True if no list has brought an address.
    pub(super) fn is_empty(&self) -> bool {
        self.backends
            .iter()
            .all(|backend| backend.address.is_none())
    }

    /// The id for a name, known or not; a list that names it later finds the same.
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

    /// The number of a zone: the same for a name as long as the process lives, whatever later
    /// settings call their zones.
    pub(crate) fn zone(&mut self, name: &str) -> ZoneId {
        let known = self.zones.iter().position(|zone| zone == name);
        let index = known.unwrap_or_else(|| {
            self.zones.push(name.to_string());
            self.zones.len() - 1
        });
        ZoneId(index as u16)
    }

    /// Which fields of a report count.
    pub(crate) fn set_report_fields(&mut self, report_fields: ReportFields) {
        self.report_fields = report_fields;
    }

    /// The endpoints of a list; their addresses are known from now on.
    ///
    /// # Errors
    /// An endpoint can't be used. Nothing has changed.
    pub(super) fn resolve(
        &mut self,
        endpoints: &[EndpointText],
    ) -> Result<Vec<Endpoint>, EndpointError> {
        // All are read before any is entered, so that a bad list changes nothing.
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
        endpoint: &EndpointText,
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
            cell: CellId(endpoint.cell.unwrap_or_default() as u16),
            state,
            weight: self.report_fields.weight(endpoint.weight.unwrap_or(1.0)),
            started_at: started_at_ms.map(|ms| Instant::from_micros(ms.saturating_mul(1_000))),
        }
    }

    /// Takes the states of a complete list: what it does not name is gone.
    pub(super) fn replace_states(&mut self, endpoints: &[Endpoint]) {
        for backend in &mut self.backends {
            backend.is_leaving = true;
        }
        self.update_states(endpoints);
    }

    /// Takes the states of a delta.
    pub(super) fn update_states(&mut self, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            let backend = &mut self.backends[endpoint.backend.index()];
            backend.is_leaving = endpoint.state != EndpointState::Ready;
        }
    }
}
