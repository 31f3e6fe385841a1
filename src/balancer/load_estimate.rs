//! Estimate of a backend's load.
use super::Balancer;
use super::fleet_load::FleetLoad;
use crate::ids::BackendId;
use crate::time::Instant;

impl Balancer {
    /// Returns a backend's reported load plus what was placed there since, in the unit of the
    /// fleet's load. A backend without a report counts as an average one. The relays share no state
    /// and choose the same backends for a group at the same time, so the placements of this relay
    /// are multiplied by the number of relays.
    pub(super) fn estimated_load(
        &self,
        now: Instant,
        backend_id: BackendId,
        fleet: FleetLoad,
    ) -> f64 {
        let backend = &self.backends[&backend_id];
        if !fleet.is_known() {
            return f64::from(backend.connections);
        }
        let placed = backend.recent_placements.len() as f64
            * f64::from(self.deployment.relay_count)
            * fleet.per_connection;
        let reported = backend
            .reported_load(now)
            .unwrap_or(fleet.mean_at_unit_weight / backend.endpoint.weight);
        if !fleet.is_capacity_share() {
            return reported + placed;
        }
        let objective = self.deployment.message_objective;
        let by_latency = backend.load_by_latency(now, objective, fleet.departure_rate);
        reported.max(by_latency) + placed
    }
}
