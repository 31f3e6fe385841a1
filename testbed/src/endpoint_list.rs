//! The endpoint list of a discovery agent, and its JSON form. No I/O.
use crate::event_recorder::{BackendIndex, Lifecycle};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The row of one backend in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRow {
    /// The address at which the backend accepts connections.
    pub address: SocketAddr,
    /// The backend's availability zone.
    pub zone: String,
    /// The backend's cell within the zone.
    pub cell: u16,
    /// The backend's lifecycle state.
    pub lifecycle: Lifecycle,
    /// Unix time of the backend's start in milliseconds; 0 if it ran from the beginning.
    pub started_ms: u64,
}

/// Returns the name of a backend in the list, which is the same for all relays.
pub fn endpoint_name(backend: BackendIndex) -> String {
    format!("box-{:04}", backend.0)
}

/// The endpoint list of one agent. Its generation counts the changes.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    generation: u64,
    /// The rows, each with the generation in which it last changed.
    rows: BTreeMap<BackendIndex, (u64, EndpointRow)>,
    /// The oldest generation since which all changes are known. A request with an older generation,
    /// or with a higher one than the present, gets a full snapshot.
    oldest_known_generation: u64,
}

impl EndpointList {
    /// Returns the present generation.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns all rows, including those of backends that are gone.
    pub fn rows(&self) -> impl Iterator<Item = (BackendIndex, &EndpointRow)> {
        self.rows.iter().map(|(backend, (_, row))| (*backend, row))
    }

    /// Adds or replaces a backend's row, which begins a new generation.
    pub fn put(&mut self, backend: BackendIndex, row: EndpointRow) {
        self.generation += 1;
        self.rows.insert(backend, (self.generation, row));
    }

    /// Starts the generations anew, as an agent does that has lost its state.
    pub(crate) fn restart_generations(&mut self) {
        self.generation = 1;
        self.oldest_known_generation = 1;
        self.rows
            .retain(|_, (_, row)| row.lifecycle != Lifecycle::Gone);
        self.rows
            .values_mut()
            .for_each(|(changed_in, _)| *changed_in = 1);
    }

    /// Returns the JSON for a relay that has this generation, and the state of each backend in it.
    /// The JSON holds the changes since a known generation, and the whole list otherwise.
    pub fn json_since(&self, generation: Option<u64>) -> (String, Vec<(BackendIndex, Lifecycle)>) {
        let known_generations = self.oldest_known_generation..=self.generation;
        let generation = generation.filter(|generation| known_generations.contains(generation));
        let is_included = |changed_in: u64, row: &EndpointRow| match generation {
            Some(generation) => changed_in > generation,
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
            .map(|(backend, row)| instance_json(*backend, row))
            .collect();
        let message = json!({
            "generation": self.generation,
            "reset": generation.is_none(),
            "instances": instances,
        });
        let states = included
            .iter()
            .map(|(backend, row)| (*backend, row.lifecycle))
            .collect();
        (message.to_string(), states)
    }
}

/// Returns a row in the form of the discovery protocol.
fn instance_json(backend: BackendIndex, row: &EndpointRow) -> serde_json::Value {
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
