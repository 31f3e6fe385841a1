//! Checks the values of a scenario's faults beyond the types of their keys.
use super::fault_table::{FAULTS, FaultTable, Selection};
use super::{Relays, Scenario};

/// The shortest time between two reloads of a relay, in microseconds.
const MIN_RELOAD_INTERVAL_US: u64 = 1_000;
const MAX_CLIENTS: usize = 1_000_000;

/// An invalid value of a fault, with its key.
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

/// Checks one fault and returns the first error in it.
pub(super) fn check(fault: &FaultTable, scenario: &Scenario) -> Result<(), InvalidFault> {
    check_required_keys(fault)?;
    let relays = scenario.relays.count;
    check_selection("boxes", &fault.backends, scenario.fleet.backends)?;
    check_selection("relays", &fault.relays, relays)?;
    check_selection("from", &fault.from, relays)?;
    check_selection("to", &fault.to, relays)?;
    if is_one_of(fault, &["link", "link-flaps", "partition"]) && !scenario.relays.peers {
        return invalid("what", "needs relays.peers = true");
    }
    check_ranges(fault, scenario)?;
    check_relay_features(fault, &scenario.relays)?;
    if fault.clients.is_some_and(|clients| clients > MAX_CLIENTS) {
        return invalid("clients", "must be at most 1000000");
    }
    Ok(())
}

fn is_one_of(fault: &FaultTable, kinds: &[&str]) -> bool {
    kinds.contains(&fault.kind.as_str())
}

fn check_required_keys(fault: &FaultTable) -> Result<(), InvalidFault> {
    let Some((_, required_keys)) = FAULTS.iter().find(|(kind, _)| *kind == fault.kind) else {
        let known: Vec<&str> = FAULTS.iter().map(|(kind, _)| *kind).collect();
        let known = known.join(", ");
        return invalid(
            "what",
            format!("there is no \"{}\"; there are {known}", fault.kind),
        );
    };
    match required_keys.split(", ").find(|key| !fault.has_key(key)) {
        Some(missing) => invalid(
            missing,
            format!("the fault \"{}\" needs this key", fault.kind),
        ),
        None => Ok(()),
    }
}

fn check_selection(
    key: &'static str,
    selection: &Option<Selection>,
    count: usize,
) -> Result<(), InvalidFault> {
    match selection {
        Some(Selection::Indices(indices)) => {
            match indices.iter().find(|number| **number >= count) {
                Some(number) => {
                    let last = count - 1;
                    invalid(
                        key,
                        format!("index {number} is out of range; the indices are 0 to {last}"),
                    )
                }
                None => Ok(()),
            }
        }
        Some(Selection::Count(wanted)) if *wanted > count => {
            invalid(key, format!("must be at most {count}"))
        }
        _ => Ok(()),
    }
}

fn check_ranges(fault: &FaultTable, scenario: &Scenario) -> Result<(), InvalidFault> {
    let is_outside = |share: Option<f64>| share.is_some_and(|share| !(0.0..=1.0).contains(&share));
    for (key, share) in [("loss", fault.loss), ("doubled", fault.duplication)] {
        if is_outside(share) {
            return invalid(key, "must be between 0 and 1");
        }
    }
    if fault.at > scenario.length {
        return invalid("at", "must not be later than the end of the run");
    }
    if is_outside(fault.error_share) {
        return invalid("part", "must be between 0 and 1");
    }
    if fault
        .slowdown
        .is_some_and(|slowdown| slowdown.is_nan() || slowdown < 1.0)
    {
        return invalid("times", "must be 1 or more");
    }
    if let (Some(interval), Some(pause)) = (fault.interval, fault.pause)
        && interval <= pause
    {
        return invalid("pause", "must be shorter than `every`");
    }
    Ok(())
}

fn check_relay_features(fault: &FaultTable, relays: &Relays) -> Result<(), InvalidFault> {
    if is_one_of(fault, &["upgrade", "ban"]) && !relays.operators {
        return invalid("what", "needs relays.operators = true");
    }
    if fault.kind == "charter-swap" && relays.operator_configs.is_empty() {
        return invalid("what", "needs operator configurations in relays.charters");
    }
    if is_one_of(fault, &["reload", "charter-swap"])
        && fault
            .interval
            .is_some_and(|interval| interval.0.as_micros() < MIN_RELOAD_INTERVAL_US)
    {
        return invalid("every", "must be at least 1ms");
    }
    Ok(())
}
