//! A budget that a run is held to, from a file.
use super::outcome::{Outcome, Phase};
use serde::Deserialize;
use thiserror::Error;

/// Limits; one that is not stated is not checked.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Of the relay that sends, or receives, most in calm.
    pub relay_sent_bytes_s: Option<f64>,
    /// Received by the relay that receives most in calm.
    pub relay_received_bytes_s: Option<f64>,
    /// Of the worst second of any relay, in any phase.
    pub relay_worst_second_bytes: Option<u64>,
    /// Of a core, in calm.
    pub relay_cpu_percent: Option<f64>,
    /// Megabytes of a relay.
    pub relay_memory_mb: Option<f64>,
    /// Sent by the voter that sends most in calm.
    pub voter_sent_bytes_s: Option<f64>,
    /// Of a core, in calm.
    pub voter_cpu_percent: Option<f64>,
    /// Megabytes of a voter.
    pub voter_memory_mb: Option<f64>,
    /// From the start of all, and from the fault, until all agree and until all is owned.
    pub start_members_s: Option<f64>,
    /// From the start until all is owned.
    pub start_owned_s: Option<f64>,
    /// From the fault until all agree.
    pub fault_members_s: Option<f64>,
    /// From the fault until all is owned.
    pub fault_owned_s: Option<f64>,
    /// Pairs of owners of one subject at once.
    pub two_owners: Option<usize>,
    /// Subjects without an owner at the end.
    pub not_owned: Option<usize>,
}

/// A limit that was not kept.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{limit}: {measured} measured, {allowed} allowed")]
pub struct BudgetViolation {
    limit: &'static str,
    measured: String,
    allowed: String,
}

/// A text that is no budget.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("line {line}: {reason}")]
pub struct BudgetError {
    line: usize,
    reason: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetFile {
    budget: Budget,
}

impl Budget {
    /// Whether a text is meant to be one.
    pub fn is_budget(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[budget]")
    }

    /// Reads the text of a budget.
    ///
    /// # Errors
    /// Where the text is no budget.
    pub fn parse(text: &str) -> Result<Budget, BudgetError> {
        let file: Result<BudgetFile, toml::de::Error> = toml::from_str(text);
        file.map(|file| file.budget).map_err(|error| {
            let lines_before = |span: std::ops::Range<usize>| text[..span.start].lines().count();
            BudgetError {
                line: error.span().map_or(0, lines_before),
                reason: error.message().to_string(),
            }
        })
    }

    /// How many limits are stated.
    pub fn limit_count(&self) -> usize {
        let numbers = [
            self.relay_sent_bytes_s,
            self.relay_received_bytes_s,
            self.relay_cpu_percent,
            self.relay_memory_mb,
            self.voter_sent_bytes_s,
            self.voter_cpu_percent,
            self.voter_memory_mb,
            self.start_members_s,
            self.start_owned_s,
            self.fault_members_s,
            self.fault_owned_s,
        ];
        let counts = [self.two_owners, self.not_owned];
        numbers.iter().flatten().count()
            + counts.iter().flatten().count()
            + usize::from(self.relay_worst_second_bytes.is_some())
    }

    /// The limits that a run did not keep.
    pub fn check(&self, outcome: &Outcome) -> Vec<BudgetViolation> {
        let mut check = Check::default();
        self.check_traffic(outcome, &mut check);
        self.check_costs(outcome, &mut check);
        self.check_convergence(outcome, &mut check);
        let not_owned = outcome.config.subjects.saturating_sub(outcome.owned_at_end);
        check.count("two_owners", outcome.two_owners, self.two_owners);
        check.count("not_owned", not_owned, self.not_owned);
        check.violations
    }

    fn check_traffic(&self, outcome: &Outcome, check: &mut Check) {
        if let Some(calm) = outcome.phase("calm") {
            let (relay, voter) = (&calm.relay, &calm.voter);
            check.number(
                "relay_sent_bytes_s",
                relay.sent_of_worst,
                self.relay_sent_bytes_s,
            );
            check.number(
                "relay_received_bytes_s",
                relay.received_of_worst,
                self.relay_received_bytes_s,
            );
            check.number(
                "voter_sent_bytes_s",
                voter.sent_of_worst,
                self.voter_sent_bytes_s,
            );
        }
        let worst_second = |phase: &Phase| {
            let relay = &phase.relay;
            relay.sent_worst_second.max(relay.received_worst_second)
        };
        let worst = outcome.phases.iter().map(worst_second).max().unwrap_or(0);
        let allowed = self.relay_worst_second_bytes.map(|bytes| bytes as f64);
        check.number("relay_worst_second_bytes", worst as f64, allowed);
    }

    /// A simulated run has no costs of a process.
    fn check_costs(&self, outcome: &Outcome, check: &mut Check) {
        if let Some(relay) = outcome.relay {
            check.number(
                "relay_cpu_percent",
                relay.cpu_percent,
                self.relay_cpu_percent,
            );
            check.number("relay_memory_mb", relay.memory_mb, self.relay_memory_mb);
        }
        if let Some(voter) = outcome.voter {
            check.number(
                "voter_cpu_percent",
                voter.cpu_percent,
                self.voter_cpu_percent,
            );
            check.number("voter_memory_mb", voter.memory_mb, self.voter_memory_mb);
        }
    }

    fn check_convergence(&self, outcome: &Outcome, check: &mut Check) {
        let converged = |phase| outcome.phase(phase).and_then(|phase| phase.converged);
        if let Some(start) = converged("start") {
            check.time("start_members_s", start.members_s, self.start_members_s);
            check.time("start_owned_s", start.owned_s, self.start_owned_s);
        }
        if let Some(fault) = converged("fault") {
            check.time("fault_members_s", fault.members_s, self.fault_members_s);
            check.time("fault_owned_s", fault.owned_s, self.fault_owned_s);
        }
    }
}

/// The violations found so far.
#[derive(Default)]
struct Check {
    violations: Vec<BudgetViolation>,
}

impl Check {
    fn number(&mut self, limit: &'static str, measured: f64, allowed: Option<f64>) {
        self.time(limit, Some(measured), allowed);
    }

    fn count(&mut self, limit: &'static str, measured: usize, allowed: Option<usize>) {
        let allowed = allowed.map(|allowed| allowed as f64);
        self.number(limit, measured as f64, allowed);
    }

    /// A time that was never reached is a violation as well.
    fn time(&mut self, limit: &'static str, measured: Option<f64>, allowed: Option<f64>) {
        let Some(allowed) = allowed else { return };
        if measured.is_some_and(|measured| measured <= allowed) {
            return;
        }
        let measured = measured.map_or("never".into(), |measured| format!("{measured:.2}"));
        self.violations.push(BudgetViolation {
            limit,
            measured,
            allowed: allowed.to_string(),
        });
    }
}
