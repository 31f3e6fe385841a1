//! Logs the balancer's events and actions, one line each at level debug. `experiment count` reads
//! these lines and relies on their names and keys. Backends have the same names at every relay, so
//! that the logs of a fleet can be counted together.
use crate::discovery::registry::EndpointRegistry;
use crate::driver::{Action, Event};
use log::{Level, debug, log_enabled};
use thistlecroft::attempt::{Arrival, LoadReport};
use thistlecroft::endpoint::{Endpoint, EndpointState, UpdateKind};

/// Logs an event that is about to be delivered to the balancer.
pub(crate) fn log_event(event: &Event, registry: &EndpointRegistry) {
    if !log_enabled!(Level::Debug) {
        return;
    }
    match event {
        Event::EndpointsUpdated(kind, endpoints) => log_endpoints(*kind, endpoints),
        Event::SessionArrived(id, arrival) => {
            let (route, group) = (arrival.route.0, group(arrival));
            debug!("arrived session={} route={route} group={group:016x}", id.0);
        }
        Event::SessionInherited(id, backend, arrival) => {
            let (route, group) = (arrival.route.0, group(arrival));
            let backend = registry.name(*backend);
            debug!(
                "inherited session={} backend={backend} route={route} group={group:016x}",
                id.0
            );
        }
        Event::AttemptReady(id, attempt) => debug!("ready session={} attempt={attempt}", id.0),
        Event::AttemptEnded(id, end) => {
            debug!(
                "ended session={} attempt={} outcome={:?} answered={}",
                id.0, end.attempt, end.outcome, end.is_answered
            );
        }
        Event::SessionLeft(id) => debug!("left session={}", id.0),
        Event::HealthChecked(backend, outcome, report) => {
            let backend = registry.name(*backend);
            let LoadReport { connections, load } = report;
            let (connections, load) = (connections.unwrap_or(-1.0), load.unwrap_or(-1.0));
            debug!(
                "health_checked backend={backend} outcome={outcome:?} \
                 connections={connections:.0} load={load:.3}"
            );
        }
        Event::BanChanged(backend, is_banned) => {
            let backend = registry.name(*backend);
            debug!("ban_changed backend={backend} banned={is_banned}");
        }
        Event::LoadObserved(..)
        | Event::LatencyObserved(..)
        | Event::ResponseOverdue(..)
        | Event::Reconfigured(_)
        | Event::BackendsDraining(_)
        | Event::SnapshotReceived(_)
        | Event::PredecessorEnded
        | Event::Wake
        | Event::ShutDown { .. } => {}
    }
}

fn log_endpoints(kind: UpdateKind, endpoints: &[Endpoint]) {
    let count_in_state = |state| {
        let endpoints = endpoints.iter();
        endpoints.filter(|endpoint| endpoint.state == state).count()
    };
    debug!(
        "endpoints update={kind:?} ready={} draining={} removed={}",
        count_in_state(EndpointState::Ready),
        count_in_state(EndpointState::Draining),
        count_in_state(EndpointState::Removed)
    );
}

fn group(arrival: &Arrival) -> u64 {
    arrival.group.unwrap_or(0)
}

/// Logs an action that is about to be carried out.
pub(crate) fn log_action(action: &Action, registry: &EndpointRegistry) {
    if !log_enabled!(Level::Debug) {
        return;
    }
    match action {
        Action::Connect(id, backend, timeout) => {
            let (backend, timeout_ms) = (registry.name(*backend), timeout.as_millis());
            debug!(
                "connect session={} backend={backend} timeout_ms={timeout_ms}",
                id.0
            );
        }
        Action::Cancel(id, attempt) => debug!("cancel session={} attempt={attempt}", id.0),
        Action::Reject(id, retry_after) => {
            let retry_after_ms = retry_after.map_or(0, |wait| wait.as_millis());
            debug!("reject session={} retry_after_ms={retry_after_ms}", id.0);
        }
        Action::Fail(id) => debug!("fail session={}", id.0),
        Action::Migrate(id) => debug!("migrate session={}", id.0),
        Action::CheckHealth(backend) => {
            debug!("check_health backend={}", registry.name(*backend));
        }
        Action::Subscribe => debug!("subscribe"),
    }
}
