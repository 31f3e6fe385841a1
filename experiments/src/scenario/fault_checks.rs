//! What a fault of a scenario has to hold, beyond the types of its keys.
use super::fault_table::{FAULTS, FaultTable, Selection};
use super::{Relays, Scenario};

/// The shortest time between two reloads of a relay, in microseconds.
const MIN_RELOAD_INTERVAL_US: u64 = 1_000;
const MAX_CLIENTS: usize = 1_000_000;

/// A key of a fault that can't hold what it holds.
pub(super) struct InvalidFault {
    key: &'static str,
    reason: String,
}

impl std::fmt::Display for InvalidFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

fn invalid(key: &'static str, reason: impl Into<String>) -> Result<(), InvalidFault> {
    Err(InvalidFault {
        key,
        reason: reason.into(),
    })
}

/// Checks one fault; the first thing that is wrong with it is the error.
pub(super) fn check(fault: &FaultTable, scenario: &Scenario) -> Result<(), InvalidFault> {
    check_needed_keys(fault)?;
    let relays = scenario.relays.count;
    check_selection("boxes", &fault.backends, scenario.fleet.backends)?;
    check_selection("relays", &fault.relays, relays)?;
    check_selection("from", &fault.from, relays)?;
    check_selection("to", &fault.to, relays)?;
    if is_one_of(fault, &["link", "link-flaps", "partition"]) && !scenario.relays.peers {
        return invalid(
            "what",
            "the relays do not know of one another (relays.peers)",
        );
    }
    check_ranges(fault, scenario)?;
    check_relay_abilities(fault, &scenario.relays)?;
    if fault.clients.is_some_and(|clients| clients > MAX_CLIENTS) {
        return invalid("clients", "a million at most");
    }
    Ok(())
}

fn is_one_of(fault: &FaultTable, kinds: &[&str]) -> bool {
    kinds.contains(&fault.kind.as_str())
}

fn check_needed_keys(fault: &FaultTable) -> Result<(), InvalidFault> {
    let Some((_, needs)) = FAULTS.iter().find(|(what, _)| *what == fault.kind) else {
        let known: Vec<&str> = FAULTS.iter().map(|(what, _)| *what).collect();
        let known = known.join(", ");
        return invalid(
            "what",
            format!("there is no \"{}\"; there are {known}", fault.kind),
        );
    };
    match needs.split(", ").find(|key| !fault.states(key)) {
        Some(missing) => invalid(missing, format!("\"{}\" needs it", fault.kind)),
        None => Ok(()),
    }
}

fn check_selection(
    key: &'static str,
    selection: &Option<Selection>,
    count: usize,
) -> Result<(), InvalidFault> {
    match selection {
        Some(Selection::Indices(numbers)) => {
            match numbers.iter().find(|number| **number >= count) {
                Some(number) => {
                    let last = count - 1;
                    invalid(
                        key,
                        format!("there is no {number}, they are counted from 0 to {last}"),
                    )
                }
                None => Ok(()),
            }
        }
        Some(Selection::Count(wanted)) if *wanted > count => {
            invalid(key, format!("there are only {count}"))
        }
        _ => Ok(()),
    }
}

fn check_ranges(fault: &FaultTable, scenario: &Scenario) -> Result<(), InvalidFault> {
    let is_outside = |part: Option<f64>| part.is_some_and(|part| !(0.0..=1.0).contains(&part));
    for (key, part) in [("loss", fault.loss), ("doubled", fault.duplication)] {
        if is_outside(part) {
            return invalid(key, "between 0 and 1");
        }
    }
    if fault.at > scenario.length {
        return invalid("at", "the run is over by then");
    }
    if is_outside(fault.error_share) {
        return invalid("part", "between 0 and 1");
    }
    if fault
        .slowdown
        .is_some_and(|times| times.is_nan() || times < 1.0)
    {
        return invalid("times", "1 or more");
    }
    if let (Some(every), Some(pause)) = (fault.interval, fault.pause)
        && every <= pause
    {
        return invalid("pause", "shorter than `every`");
    }
    Ok(())
}

fn check_relay_abilities(fault: &FaultTable, relays: &Relays) -> Result<(), InvalidFault> {
    if is_one_of(fault, &["upgrade", "ban"]) && !relays.operators {
        return invalid("what", "the relays have no operators (relays.operators)");
    }
    if fault.kind == "charter-swap" && relays.operator_configs.is_empty() {
        return invalid("what", "the relays have no charters to swap");
    }
    if is_one_of(fault, &["reload", "charter-swap"])
        && fault
            .interval
            .is_some_and(|every| every.0.as_micros() < MIN_RELOAD_INTERVAL_US)
    {
        return invalid("every", "a millisecond at least");
    }
    Ok(())
}
