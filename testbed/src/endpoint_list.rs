//! Discovery's list without its sockets: the truth, what an agent has of it, and the text of both.
use crate::event_recorder::{BackendIndex, Lifecycle};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A row of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRow {
    pub address: SocketAddr,
    pub zone: String,
    pub cell: u16,
    pub lifecycle: Lifecycle,
    /// Unix time; 0 for long ago.
    pub started_ms: u64,
}

/// The name of a box on the list, the same for all relays.
pub fn endpoint_name(at: BackendIndex) -> String {
    format!("box-{:04}", at.0)
}

/// The list as one agent has it. Versions count its changes.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    generation: u64,
    rows: BTreeMap<BackendIndex, (u64, EndpointRow)>,
    /// Changes before this version are not known any more: who asks with an older or a higher one
    /// has the whole.
    known_from: u64,
}

impl EndpointList {
    pub fn generation(&self) -> u64 {
        self.generation
    }

    pub fn rows(&self) -> impl Iterator<Item = (BackendIndex, &EndpointRow)> {
        self.rows.iter().map(|(at, (_, row))| (*at, row))
    }

    pub fn put(&mut self, at: BackendIndex, row: EndpointRow) {
        self.generation += 1;
        self.rows.insert(at, (self.generation, row));
    }

    /// As an agent does that has lost its memory: the same rows, versions from the start.
    pub fn forget_versions(&mut self) {
        self.generation = 1;
        self.known_from = 1;
        self.rows
            .retain(|_, (_, row)| row.lifecycle != Lifecycle::Gone);
        self.rows.values_mut().for_each(|(version, _)| *version = 1);
    }

    /// The text for one who holds that version: what changed since, or the whole; and the rows that
    /// it names.
    pub fn text_since(&self, held: Option<u64>) -> (String, Vec<(BackendIndex, Lifecycle)>) {
        let held = held.filter(|held| (self.known_from..=self.generation).contains(held));
        let told: Vec<(&BackendIndex, &EndpointRow)> = self
            .rows
            .iter()
            .filter(|(_, (version, _))| held.is_none_or(|held| *version > held))
            .filter(|(_, (_, row))| held.is_some() || row.lifecycle != Lifecycle::Gone)
            .map(|(at, (_, row))| (at, row))
            .collect();
        let instances: Vec<_> = told.iter().map(|(at, row)| object(**at, row)).collect();
        let text =
            json!({"generation": self.generation, "reset": held.is_none(), "instances": instances})
                .to_string();
        (
            text,
            told.iter().map(|(at, row)| (**at, row.lifecycle)).collect(),
        )
    }
}

fn object(at: BackendIndex, row: &EndpointRow) -> serde_json::Value {
    json!({
        "instanceId": endpoint_name(at),
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
