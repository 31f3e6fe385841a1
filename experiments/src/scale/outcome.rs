//! What a run has shown, as a table and as JSON.
use super::config::{Role, ScaleConfig};
use super::meter::{RoleTraffic, Traffic};
use super::real::RealFigures;
use serde::Serialize;
use std::fmt::Write;

/// Seconds until a state was reached; `None` where it was not within the time that was waited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Convergence {
    /// Each that lives sees exactly those that live and that it can reach.
    pub members_s: Option<f64>,
    /// Every subject has an owner that lives.
    pub owned_s: Option<f64>,
}

/// A part of the run, with what the fleet sent in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Phase {
    pub name: String,
    pub seconds: f64,
    pub relay: RoleTraffic,
    pub voter: RoleTraffic,
    pub converged: Option<Convergence>,
}

impl Phase {
    pub fn new(
        name: &str,
        seconds: f64,
        all: &[(Role, Traffic)],
        converged: Option<Convergence>,
    ) -> Phase {
        let (relay, voter) = (
            RoleTraffic::of(all, Role::Relay),
            RoleTraffic::of(all, Role::Voter),
        );
        Phase {
            name: name.into(),
            seconds,
            relay,
            voter,
            converged,
        }
    }
}

/// Of one process of a role, in calm. Simulated runs have none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    pub cpu_percent: f64,
    /// In the phase in which it was highest.
    pub worst_cpu_percent: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    pub config: ScaleConfig,
    pub phases: Vec<Phase>,
    pub relay: Option<Cost>,
    pub voter: Option<Cost>,
    /// Of real relays in the fleet, in calm.
    pub real: Option<RealFigures>,
    /// Pairs of holdings of one subject by two at once, and holdings whose epoch did not grow.
    pub two_owners: usize,
    pub epochs_not_grown: usize,
    pub holdings: usize,
    pub owned_at_end: usize,
    /// By how much a hollow process was behind its timers at worst: above a tenth of a period the
    /// machine is too slow.
    pub late_ms: Option<f64>,
    pub took_s: f64,
}

impl Outcome {
    pub fn phase(&self, name: &str) -> Option<&Phase> {
        self.phases.iter().find(|phase| phase.name == name)
    }

    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("an outcome is plain values")
    }

    pub fn table(&self) -> String {
        let mut page = String::new();
        let config = &self.config;
        let way = if config.simulated {
            "simulated links"
        } else {
            "UDP on loopback"
        };
        let _ = writeln!(
            page,
            "{} relays, {} voters, {} subjects, {way}; period {} ms, term {} ms, seed {}",
            config.relays,
            config.voters,
            config.subjects,
            config.period_ms,
            config.term_ms,
            config.seed
        );
        let _ = writeln!(
            page,
            "{:<8} {:>6}  {:<6} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>9}  {:>9} {:>9}",
            "phase",
            "s",
            "role",
            "sent B/s",
            "recv B/s",
            "worst sent",
            "worst recv",
            "peak sent",
            "peak recv",
            "held back",
            "agree s",
            "owned s"
        );
        for phase in &self.phases {
            for (role, traffic) in [("relay", &phase.relay), ("voter", &phase.voter)] {
                let time = |of: fn(&Convergence) -> Option<f64>| match &phase.converged {
                    Some(converged) if role == "relay" => {
                        of(converged).map_or("never".into(), |s| format!("{s:.1}"))
                    }
                    _ => String::new(),
                };
                let _ = writeln!(
                    page,
                    "{:<8} {:>6.0}  {role:<6} {:>10.0} {:>10.0} {:>10.0} {:>10.0} {:>10} {:>10} {:>9}  {:>9} {:>9}",
                    phase.name,
                    phase.seconds,
                    traffic.sent_mean,
                    traffic.received_mean,
                    traffic.sent_of_worst,
                    traffic.received_of_worst,
                    traffic.sent_worst_second,
                    traffic.received_worst_second,
                    traffic.held_back,
                    time(|one| one.members_s),
                    time(|one| one.owned_s),
                );
            }
        }
        for (role, cost) in [("relay", &self.relay), ("voter", &self.voter)] {
            if let Some(cost) = cost {
                let _ = writeln!(
                    page,
                    "each {role}: {:.2}% of a core in calm, {:.2}% in its worst phase, {:.2} MB",
                    cost.cpu_percent, cost.worst_cpu_percent, cost.memory_mb
                );
            }
        }
        if let Some(real) = &self.real {
            let _ = writeln!(
                page,
                "each of {} real relays in calm: {:.0} B/s sent ({:.0} to {:.0}), {:.0} received, {:.2}% of a core, {:.1} MB; \
                 its view at the operators' door has {} bytes",
                real.relays,
                real.sent_mean,
                real.sent_least,
                real.sent_most,
                real.received_mean,
                real.cpu_percent,
                real.memory_mb,
                real.view_bytes
            );
        }
        let _ = writeln!(
            page,
            "owned at the end {} of {}; {} holdings seen, two owners at once {}, epochs that did not grow {}",
            self.owned_at_end,
            config.subjects,
            self.holdings,
            self.two_owners,
            self.epochs_not_grown
        );
        if let Some(late) = self.late_ms {
            let _ = writeln!(
                page,
                "a hollow process was behind its timers by {late:.0} ms at worst"
            );
        }
        let _ = writeln!(
            page,
            "bytes with 28 of headers a datagram; worst: of the process that had most; peak: the worst second of any; {:.0} s",
            self.took_s
        );
        page
    }
}
