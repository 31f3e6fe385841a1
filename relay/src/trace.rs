//! What the decisions are told and what they ask for, a line each at level debug, so that a fleet's
//! logs can be counted together: backends by the name that is the same at every relay,
//! `thistlecroft lab count` reads them.
use crate::discovery::watch::EndpointRegistry;
use crate::driver::{Action, Event};
use log::{Level, debug, log_enabled};
use thistlecroft::endpoint::EndpointState;

pub fn news(news: &Event, book: &EndpointRegistry) {
    if !log_enabled!(Level::Debug) {
        return;
    }
    match news {
        Event::EndpointsUpdated(scope, rows) => {
            let of = |standing| rows.iter().filter(|row| row.state == standing).count();
            let [ready, draining, gone] = [
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Removed,
            ]
            .map(of);
            debug!("list scope={scope:?} ready={ready} draining={draining} gone={gone}");
        }
        Event::SessionArrived(id, arrival) => {
            debug!(
                "arrived session={} route={} group={:016x}",
                id.0,
                arrival.route.0,
                arrival.group.unwrap_or(0)
            );
        }
        Event::SessionInherited(id, at, arrival) => {
            let (route, group) = (arrival.route.0, arrival.group.unwrap_or(0));
            debug!(
                "inherited session={} box={} route={route} group={group:016x}",
                id.0,
                book.name(*at)
            );
        }
        Event::AttemptReady(id, dial) => debug!("ready session={} dial={dial}", id.0),
        Event::AttemptEnded(id, ending) => {
            debug!(
                "ended session={} dial={} verdict={:?} over={}",
                id.0, ending.attempt, ending.outcome, ending.is_answered
            );
        }
        Event::SessionLeft(id) => debug!("left session={}", id.0),
        Event::HealthChecked(at, verdict, report) => {
            let (held, load) = (
                report.connections.unwrap_or(-1.0),
                report.load.unwrap_or(-1.0),
            );
            debug!(
                "probed box={} verdict={verdict:?} held={held:.0} load={load:.3}",
                book.name(*at)
            );
        }
        Event::BanChanged(at, out) => debug!("banned box={} out={out}", book.name(*at)),
        Event::LoadObserved(..)
        | Event::LatencyObserved(..)
        | Event::ResponseOverdue(..)
        | Event::Reconfigured(_)
        | Event::SnapshotReceived(_)
        | Event::PredecessorEnded
        | Event::Wake
        | Event::ShutDown => {}
    }
}

pub fn order(order: &Action, book: &EndpointRegistry) {
    if !log_enabled!(Level::Debug) {
        return;
    }
    match order {
        Action::Connect(id, at, wait) => {
            debug!(
                "dial session={} box={} wait_ms={}",
                id.0,
                book.name(*at),
                wait.as_millis()
            );
        }
        Action::Cancel(id, dial) => debug!("withdraw session={} dial={dial}", id.0),
        Action::Reject(id, wait) => {
            debug!(
                "refuse session={} again_ms={}",
                id.0,
                wait.map_or(0, |wait| wait.as_millis())
            );
        }
        Action::Fail(id) => debug!("torn_down session={}", id.0),
        Action::Migrate(id) => debug!("sent_away session={}", id.0),
        Action::CheckHealth(at) => debug!("probe box={}", book.name(*at)),
        Action::Subscribe => debug!("subscribe"),
    }
}
