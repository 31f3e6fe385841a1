//! What the decisions are told and what they ask for, a line each at level debug, so that a fleet's
//! logs can be counted together: backends by the name that is the same at every relay,
//! `thistlecroft lab count` reads them.
use crate::discovery::Book;
use crate::front::{News, Order};
use log::{Level, debug, log_enabled};
use thistlecroft::endpoint::EndpointState;

pub fn news(news: &News, book: &Book) {
    if !log_enabled!(Level::Debug) {
        return;
    }
    match news {
        News::Listed(scope, rows) => {
            let of = |standing| rows.iter().filter(|row| row.state == standing).count();
            let [ready, draining, gone] = [
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Removed,
            ]
            .map(of);
            debug!("list scope={scope:?} ready={ready} draining={draining} gone={gone}");
        }
        News::Arrived(id, arrival) => {
            debug!(
                "arrived session={} route={} group={:016x}",
                id.0,
                arrival.route.0,
                arrival.group.unwrap_or(0)
            );
        }
        News::Inherited(id, at, arrival) => {
            let (route, group) = (arrival.route.0, arrival.group.unwrap_or(0));
            debug!(
                "inherited session={} box={} route={route} group={group:016x}",
                id.0,
                book.name(*at)
            );
        }
        News::Ready(id, dial) => debug!("ready session={} dial={dial}", id.0),
        News::Ended(id, ending) => {
            debug!(
                "ended session={} dial={} verdict={:?} over={}",
                id.0, ending.attempt, ending.outcome, ending.is_answered
            );
        }
        News::Left(id) => debug!("left session={}", id.0),
        News::Probed(at, verdict, report) => {
            let (held, load) = (
                report.connections.unwrap_or(-1.0),
                report.load.unwrap_or(-1.0),
            );
            debug!(
                "probed box={} verdict={verdict:?} held={held:.0} load={load:.3}",
                book.name(*at)
            );
        }
        News::Banned(at, out) => debug!("banned box={} out={out}", book.name(*at)),
        News::Load(..)
        | News::Delay(..)
        | News::Overdue(..)
        | News::Resettled(_)
        | News::Recalled(_)
        | News::Alone
        | News::Woken
        | News::Stopping => {}
    }
}

pub fn order(order: &Order, book: &Book) {
    if !log_enabled!(Level::Debug) {
        return;
    }
    match order {
        Order::Dial(id, at, wait) => {
            debug!(
                "dial session={} box={} wait_ms={}",
                id.0,
                book.name(*at),
                wait.as_millis()
            );
        }
        Order::Withdraw(id, dial) => debug!("withdraw session={} dial={dial}", id.0),
        Order::Refuse(id, wait) => {
            debug!(
                "refuse session={} again_ms={}",
                id.0,
                wait.map_or(0, |wait| wait.as_millis())
            );
        }
        Order::TearDown(id) => debug!("torn_down session={}", id.0),
        Order::SendAway(id) => debug!("sent_away session={}", id.0),
        Order::Probe(at) => debug!("probe box={}", book.name(*at)),
        Order::Subscribe => debug!("subscribe"),
    }
}
