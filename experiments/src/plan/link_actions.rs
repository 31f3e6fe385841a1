//! Actions of faults of the links between relays.
use super::PLAN_START;
use super::action::{Action, Link, Schedule};
use super::fault_actions::duration_or_zero;
use super::selection::select_relays;
use crate::scenario::{FaultTable, Scenario};
use thistlecroft::random::Rng;
use thistlecroft::time::Instant;
use thistlecroft_testbed::event_recorder::RelayIndex;
use thistlecroft_testbed::link_fault::LinkFault;

/// The names under which link faults are recorded.
const CUT: &str = "cut";
const IMPAIRED: &str = "bent";

/// Adds the actions of a fault on links; none if the fault is of another kind.
pub(super) fn add(
    fault: &FaultTable,
    scenario: &Scenario,
    relays: &[RelayIndex],
    rng: &mut Rng,
    schedule: &mut Schedule,
) {
    let count = scenario.relays.count;
    let begin = PLAN_START + fault.at.0;
    let end = fault.duration.map(|duration| begin + duration.0);
    match fault.kind.as_str() {
        "partition" => {
            let links = links_across(relays, count);
            add_fault(schedule, &links, LinkFault::CUT, CUT, begin, end);
        }
        "link" => {
            let (links, link_fault) = faulted_links(fault, count, rng);
            add_fault(
                schedule,
                &links,
                link_fault,
                link_fault_name(link_fault),
                begin,
                end,
            );
        }
        "link-flaps" => {
            let (links, link_fault) = faulted_links(fault, count, rng);
            let interval = duration_or_zero(fault.interval);
            let pause = duration_or_zero(fault.pause);
            let mut at = begin;
            while end.is_some_and(|end| at < end) {
                let name = link_fault_name(link_fault);
                add_fault(schedule, &links, link_fault, name, at, Some(at + pause));
                at = at + interval;
            }
        }
        _ => {}
    }
}

fn add_fault(
    schedule: &mut Schedule,
    links: &[Link],
    fault: LinkFault,
    name: &'static str,
    begin: Instant,
    end: Option<Instant>,
) {
    let action = |fault| Action::Links {
        links: links.to_vec(),
        fault,
        name,
    };
    schedule.add(begin, action(Some(fault)));
    if let Some(end) = end {
        schedule.add(end, action(None));
    }
}

fn link_fault_name(fault: LinkFault) -> &'static str {
    if fault == LinkFault::CUT {
        CUT
    } else {
        IMPAIRED
    }
}

/// Returns both directions of all links between `relays` and the other relays.
fn links_across(relays: &[RelayIndex], count: usize) -> Vec<Link> {
    let all = || (0..count).map(|number| RelayIndex(number as u16));
    let mut links = Vec::new();
    for &relay in relays {
        for other in all().filter(|other| !relays.contains(other)) {
            links.extend([(relay, other), (other, relay)]);
        }
    }
    links
}

/// Returns the links between the relays that the fault names, and the fault that they get.
fn faulted_links(fault: &FaultTable, count: usize, rng: &mut Rng) -> (Vec<Link>, LinkFault) {
    let from = select_relays(&fault.from, count, rng);
    let to = select_relays(&fault.to, count, rng);
    let mut links = Vec::new();
    for &sender in &from {
        let receivers = to.iter().filter(|receiver| **receiver != sender);
        links.extend(receivers.map(|&receiver| (sender, receiver)));
    }
    (links, link_fault(fault))
}

/// Returns the fault of a link. A link loses all datagrams unless the scenario gives a loss or
/// another impairment.
fn link_fault(fault: &FaultTable) -> LinkFault {
    let is_impaired = fault.delay.is_some()
        || fault.jitter.is_some()
        || fault.duplication.is_some()
        || fault.bytes_per_second.is_some();
    LinkFault {
        loss: fault.loss.unwrap_or(if is_impaired { 0.0 } else { 1.0 }),
        delay: duration_or_zero(fault.delay),
        jitter: duration_or_zero(fault.jitter),
        duplication: fault.duplication.unwrap_or(0.0),
        bytes_per_second: fault.bytes_per_second.unwrap_or(0),
    }
}
