//! Statistics of the recent traffic of this relay.
use crate::ids::RouteId;
use crate::time::Duration;
use std::collections::BTreeMap;

/// Share of each count that remains after a decay.
const RETAINED_SHARE: f64 = 0.99;
/// Groups are forgotten once their decayed number of sessions falls to this.
const MIN_GROUP_SESSIONS: f64 = 0.1;
/// Sessions added to the total of all groups, so that a group does not count for a large share
/// before many sessions are known.
const PRIOR_SESSIONS: f64 = 20.0;
/// Weight of the latest connect time in the moving average.
const CONNECT_TIME_WEIGHT: f64 = 0.5;
/// Weight of each observed session in the typical load of its route.
const ROUTE_LOAD_WEIGHT: f64 = 0.05;
/// Connection time that is added to the observed one when the departure rate is computed, as a
/// multiple of the warm-up time. It keeps the rate low while little connection time is observed.
const PRIOR_WARM_UPS: f64 = 3.0;

/// Decaying counts and moving averages.
#[derive(Default)]
pub(super) struct TrafficStatistics {
    group_sessions: BTreeMap<u64, f64>,
    grouped_sessions: f64,
    /// Sessions that arrived within about one window of the slow-start rule.
    pub(super) sessions_per_window: f64,
    /// Decaying sum of the seconds for which sessions were open, as an estimate of the time for
    /// which connections were established.
    pub(super) connection_seconds: f64,
    /// Connections that the other side closed in order in that time.
    pub(super) departures: f64,
    /// Average time until an attempt is ready, over all backends.
    pub(super) connect_time: Duration,
    /// The load that a session of each route typically causes.
    route_loads: BTreeMap<RouteId, f64>,
}

impl TrafficStatistics {
    pub(super) fn record_session(&mut self, group: Option<u64>) {
        if let Some(group) = group {
            *self.group_sessions.entry(group).or_default() += 1.0;
            self.grouped_sessions += 1.0;
        }
        self.sessions_per_window += 1.0;
    }

    pub(super) fn record_departure(&mut self) {
        self.departures += 1.0;
    }

    /// Adds the connect time of an attempt to the average. Attempts that are slow everywhere have
    /// to be given more time: giving up early would send the same work again to overloaded
    /// backends.
    pub(super) fn record_connect_time(&mut self, connect_time: Duration) {
        self.connect_time =
            self.connect_time * (1.0 - CONNECT_TIME_WEIGHT) + connect_time * CONNECT_TIME_WEIGHT;
    }

    pub(super) fn record_load(&mut self, route: RouteId, load: f64) {
        let typical_load = self.route_loads.entry(route).or_insert(load);
        *typical_load += (load - *typical_load) * ROUTE_LOAD_WEIGHT;
    }

    /// Forgets the loads of routes, whose numbers may stand for other rows now.
    pub(super) fn forget_routes(&mut self) {
        self.route_loads.clear();
    }

    /// Decays the counts by one interval, in which `open_sessions` sessions were open.
    pub(super) fn decay(&mut self, interval: Duration, open_sessions: usize, window: Duration) {
        self.connection_seconds = self.connection_seconds * RETAINED_SHARE
            + open_sessions as f64 * interval.as_secs_f64();
        self.departures *= RETAINED_SHARE;
        self.sessions_per_window *= 1.0 - interval.as_secs_f64() / window.as_secs_f64();
        self.grouped_sessions *= RETAINED_SHARE;
        for sessions in self.group_sessions.values_mut() {
            *sessions *= RETAINED_SHARE;
        }
        self.group_sessions
            .retain(|_, sessions| *sessions > MIN_GROUP_SESSIONS);
    }

    /// Returns the group's share of all sessions that belong to groups.
    pub(super) fn group_share(&self, group: u64) -> f64 {
        self.group_sessions.get(&group).unwrap_or(&0.0) / (self.grouped_sessions + PRIOR_SESSIONS)
    }

    /// Returns the share of the connections that depart by themselves within a second.
    /// `assumed_departures` are added to those seen.
    pub(super) fn departure_rate(&self, assumed_departures: f64, warm_up: Duration) -> f64 {
        let prior_seconds = PRIOR_WARM_UPS * warm_up.as_secs_f64();
        (self.departures + assumed_departures) / (self.connection_seconds + prior_seconds)
    }

    /// Returns the value of a route's sessions for the load that they typically cause, as a share
    /// of that of the best route. A route whose load is unknown counts as the best.
    pub(super) fn relative_value(
        &self,
        route: RouteId,
        priority_weight: impl Fn(RouteId) -> f64,
    ) -> f64 {
        let value = |(route, load): (&RouteId, &f64)| priority_weight(*route) / load.max(1e-9);
        let best = self
            .route_loads
            .iter()
            .map(value)
            .fold(f64::MIN_POSITIVE, f64::max);
        let own = self.route_loads.get_key_value(&route).map_or(best, value);
        own / best
    }
}
