//! The endpoint list as a discovery agent has it, and its text. No I/O.
use crate::event_recorder::{BackendIndex, Lifecycle};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A backend in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRow {
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u16,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Unix time of its start in milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// The name of a backend in the list, the same for all relays.
pub fn endpoint_name(backend: BackendIndex) -> String {
    format!("box-{:04}", backend.0)
}

/// The list as one agent has it. Its version counts the changes.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    generation: u64,
    /// Each row with the version that changed it last.
    rows: BTreeMap<BackendIndex, (u64, EndpointRow)>,
    /// Changes before this version are no longer known: a request with an older version, or a
    /// higher one than the present, gets a full snapshot.
    oldest_known_version: u64,
}

impl EndpointList {
    /// The version.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// All rows, also those of backends that are gone.
    pub fn rows(&self) -> impl Iterator<Item = (BackendIndex, &EndpointRow)> {
        self.rows.iter().map(|(backend, (_, row))| (*backend, row))
    }

    /// Adds or replaces a row.
    pub fn put(&mut self, backend: BackendIndex, row: EndpointRow) {
        self.generation += 1;
        self.rows.insert(backend, (self.generation, row));
    }

    /// Loses the versions, as an agent does that has lost its state.
    pub(crate) fn forget_versions(&mut self) {
        self.generation = 1;
        self.oldest_known_version = 1;
        self.rows
            .retain(|_, (_, row)| row.lifecycle != Lifecycle::Gone);
        self.rows.values_mut().for_each(|(version, _)| *version = 1);
    }

    /// The text for a relay that has this version, with what changed since, or with the whole list;
    /// and the state of each backend that it names.
    pub fn json_since(&self, version: Option<u64>) -> (String, Vec<(BackendIndex, Lifecycle)>) {
        let known_versions = self.oldest_known_version..=self.generation;
        let version = version.filter(|version| known_versions.contains(version));
        let is_included = |changed_in: u64, row: &EndpointRow| match version {
            Some(version) => changed_in > version,
            None => row.lifecycle != Lifecycle::Gone,
        };
        let included: Vec<(BackendIndex, &EndpointRow)> = self
            .rows
            .iter()
            .filter(|(_, (changed_in, row))| is_included(*changed_in, row))
            .map(|(backend, (_, row))| (*backend, row))
            .collect();
        let instances: Vec<_> = included
            .iter()
            .map(|(backend, row)| instance(*backend, row))
            .collect();
        let text = json!({
            "generation": self.generation,
            "reset": version.is_none(),
            "instances": instances,
        });
        let states = included
            .iter()
            .map(|(backend, row)| (*backend, row.lifecycle))
            .collect();
        (text.to_string(), states)
    }
}

/// A row in discovery's form.
fn instance(backend: BackendIndex, row: &EndpointRow) -> serde_json::Value {
    json!({
        "instanceId": endpoint_name(backend),
        "hostPort": row.address.to_string(),
        "zone": row.zone,
        "machineType": "stand-in",
        "cell": row.cell,
        "lifecycle": match row.lifecycle {
            Lifecycle::Ready => "Ready",
            Lifecycle::Draining => "Terminating",
            Lifecycle::Gone => "Gone",
        },
        "weight": 1.0,
        "startedAtMs": row.started_ms,
    })
}

#[cfg(test)]
mod tests;
