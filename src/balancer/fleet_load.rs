//! Load of the whole fleet, estimated from recent load reports.
use super::Balancer;
use super::backend_state::Backend;
use crate::endpoint::EndpointState;
use crate::ids::BackendId;
use crate::time::Instant;

/// Largest share of a backend's capacity that one connection counts for. A relay that has just
/// started knows few connections and would otherwise attribute a large part of a backend to each.
const MAX_CONNECTION_SHARE: f64 = 0.1;

/// The unit of the loads that are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum LoadUnit {
    /// No backend has reported; loads are counts of this relay's own connections.
    #[default]
    OwnConnections,
    /// Backends report how many connections they hold.
    Connections,
    /// Backends report the load asked of them as a share of their capacity.
    CapacityShare,
}

/// The load of the fleet, from reports that are not too old.
#[derive(Clone, Copy, Default)]
pub(super) struct FleetLoad {
    pub(super) unit: LoadUnit,
    /// Mean load of the backends that have reported.
    pub(super) mean: f64,
    /// `mean` as if all listed weights were 1.
    pub(super) mean_at_unit_weight: f64,
    /// What one connection adds to the load of an average backend.
    pub(super) per_connection: f64,
    /// Whether `per_connection` is computed from reported connections, or no backend has reported.
    /// Otherwise this relay's own connections are taken as a sample of those of all relays.
    pub(super) counts_all_relays: bool,
    /// Number of ready backends that are warming up.
    pub(super) warming_up: f64,
    /// Share of the connections that depart by themselves within a second.
    pub(super) departure_rate: f64,
}

impl FleetLoad {
    pub(super) fn is_known(&self) -> bool {
        self.unit != LoadUnit::OwnConnections
    }

    pub(super) fn is_capacity_share(&self) -> bool {
        self.unit == LoadUnit::CapacityShare
    }
}

/// Sums over the backends that have reported.
#[derive(Default)]
struct ReportSums {
    backends: f64,
    load: f64,
    weighted_load: f64,
    connections: f64,
    has_capacity_shares: bool,
}

impl Balancer {
    pub(super) fn fleet_load(&self, now: Instant) -> FleetLoad {
        let warming_up = self
            .ready_backends()
            .filter(|&(backend_id, _)| self.is_warming_up(now, backend_id))
            .count() as f64;
        let per_backend = self.connections_per_warm_backend(now);
        let sums = self.sum_reports(now);
        if sums.backends == 0.0 {
            // A warm backend can take at least as many connections as one holds now on average.
            return FleetLoad {
                per_connection: 1.0 / per_backend,
                counts_all_relays: true,
                warming_up,
                ..FleetLoad::default()
            };
        }
        let counts_all_relays = sums.connections > 0.0;
        let connections = if counts_all_relays {
            sums.connections
        } else {
            per_backend * sums.backends
        };
        let per_connection = sums.load / f64::max(connections, sums.backends);
        let (unit, per_connection) = if sums.has_capacity_shares {
            let capped = per_connection.min(MAX_CONNECTION_SHARE);
            (LoadUnit::CapacityShare, capped)
        } else {
            (LoadUnit::Connections, per_connection)
        };
        FleetLoad {
            unit,
            mean: sums.load / sums.backends,
            mean_at_unit_weight: sums.weighted_load / sums.backends,
            per_connection,
            counts_all_relays,
            warming_up,
            departure_rate: self.departure_rate(1.0),
        }
    }

    fn sum_reports(&self, now: Instant) -> ReportSums {
        let mut sums = ReportSums::default();
        for (_, backend) in self.ready_backends() {
            let (Some(report), Some(load)) =
                (backend.recent_report(now), backend.reported_load(now))
            else {
                continue;
            };
            sums.backends += 1.0;
            sums.load += load;
            sums.weighted_load += load * backend.endpoint.weight;
            sums.connections += report.connections.unwrap_or(0.0);
            sums.has_capacity_shares |= report.load.is_some();
        }
        sums
    }

    /// Returns the connections that a warm backend holds, extrapolated from those of this relay.
    /// Backends that are warming up are left out: with them the figure would halve just as half the
    /// fleet is replaced.
    fn connections_per_warm_backend(&self, now: Instant) -> f64 {
        let holds_connections = |backend: &Backend| {
            backend.connections > 0 || backend.endpoint.state == EndpointState::Ready
        };
        let warm_connections: Vec<u32> = self
            .backends
            .iter()
            .filter(|&(&backend_id, backend)| {
                holds_connections(backend) && !self.is_warming_up(now, backend_id)
            })
            .map(|(_, backend)| backend.connections)
            .collect();
        f64::from(warm_connections.iter().sum::<u32>() * self.deployment.relay_count)
            / warm_connections.len().max(1) as f64
    }

    /// Returns the share of the connections that depart by themselves within a second.
    pub(super) fn departure_rate(&self, assumed_departures: f64) -> f64 {
        let warm_up = self.deployment.slow_start.warm_up;
        self.traffic.departure_rate(assumed_departures, warm_up)
    }

    fn is_warming_up(&self, now: Instant, backend_id: BackendId) -> bool {
        self.slow_start_turn(now, backend_id).is_some()
    }
}
