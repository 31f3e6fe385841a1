//! Budgets: limits for the results of a scale test, read from a file.
use super::outcome::{Outcome, Phase};
use serde::Deserialize;
use thiserror::Error;

/// Limits for the results of a scale test. A limit that is `None` is not checked.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Bytes per second sent by the relay that sends most while the fleet is calm.
    pub relay_sent_bytes_s: Option<f64>,
    /// Bytes per second received by the relay that receives most while the fleet is calm.
    pub relay_received_bytes_s: Option<f64>,
    /// Bytes sent, or received, by any relay within one second of any phase.
    pub relay_worst_second_bytes: Option<u64>,
    /// CPU usage of a relay while the fleet is calm, in percent of a core.
    pub relay_cpu_percent: Option<f64>,
    /// Memory of a relay in megabytes.
    pub relay_memory_mb: Option<f64>,
    /// Bytes per second sent by the voter that sends most while the fleet is calm.
    pub voter_sent_bytes_s: Option<f64>,
    /// CPU usage of a voter while the fleet is calm, in percent of a core.
    pub voter_cpu_percent: Option<f64>,
    /// Memory of a voter in megabytes.
    pub voter_memory_mb: Option<f64>,
    /// Seconds from the start until all members agree on who is alive.
    pub start_members_s: Option<f64>,
    /// Seconds from the start until all subjects are owned.
    pub start_owned_s: Option<f64>,
    /// Seconds from the fault until all members agree on who is alive.
    pub fault_members_s: Option<f64>,
    /// Seconds from the fault until all subjects are owned.
    pub fault_owned_s: Option<f64>,
    /// Number of times that two members owned a subject at the same time.
    pub two_owners: Option<usize>,
    /// Number of subjects without an owner at the end.
    pub not_owned: Option<usize>,
}

/// A limit that a run exceeded.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{limit}: {measured} measured, {allowed} allowed")]
pub struct BudgetViolation {
    limit: &'static str,
    measured: String,
    allowed: String,
}

/// Why a text can't be parsed as a budget.
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
    /// Returns whether a text is meant as a budget: whether it has a `[budget]` table.
    pub fn is_budget(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[budget]")
    }

    /// Parses the text of a budget file.
    ///
    /// # Errors
    /// Returns an error if the text is not TOML, or has an unknown key or a value of a wrong type.
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

    /// Returns the number of limits that are set.
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

    /// Returns the limits that a run exceeded.
    pub fn check(&self, outcome: &Outcome) -> Vec<BudgetViolation> {
        let mut check = BudgetCheck::default();
        self.check_traffic(outcome, &mut check);
        self.check_costs(outcome, &mut check);
        self.check_convergence(outcome, &mut check);
        let not_owned = outcome.config.subjects.saturating_sub(outcome.owned_at_end);
        check.compare_count("two_owners", outcome.two_owners, self.two_owners);
        check.compare_count("not_owned", not_owned, self.not_owned);
        check.violations
    }

    fn check_traffic(&self, outcome: &Outcome, check: &mut BudgetCheck) {
        if let Some(calm) = outcome.phase("calm") {
            let (relay, voter) = (&calm.relay, &calm.voter);
            check.compare_number(
                "relay_sent_bytes_s",
                relay.sent_of_worst,
                self.relay_sent_bytes_s,
            );
            check.compare_number(
                "relay_received_bytes_s",
                relay.received_of_worst,
                self.relay_received_bytes_s,
            );
            check.compare_number(
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
        check.compare_number("relay_worst_second_bytes", worst as f64, allowed);
    }

    /// Checks CPU usage and memory, which simulated runs don't measure.
    fn check_costs(&self, outcome: &Outcome, check: &mut BudgetCheck) {
        if let Some(relay) = outcome.relay {
            check.compare_number(
                "relay_cpu_percent",
                relay.cpu_percent,
                self.relay_cpu_percent,
            );
            check.compare_number("relay_memory_mb", relay.memory_mb, self.relay_memory_mb);
        }
        if let Some(voter) = outcome.voter {
            check.compare_number(
                "voter_cpu_percent",
                voter.cpu_percent,
                self.voter_cpu_percent,
            );
            check.compare_number("voter_memory_mb", voter.memory_mb, self.voter_memory_mb);
        }
    }

    fn check_convergence(&self, outcome: &Outcome, check: &mut BudgetCheck) {
        let converged = |phase| outcome.phase(phase).and_then(|phase| phase.converged);
        if let Some(start) = converged("start") {
            check.compare_time("start_members_s", start.members_s, self.start_members_s);
            check.compare_time("start_owned_s", start.owned_s, self.start_owned_s);
        }
        if let Some(fault) = converged("fault") {
            check.compare_time("fault_members_s", fault.members_s, self.fault_members_s);
            check.compare_time("fault_owned_s", fault.owned_s, self.fault_owned_s);
        }
    }
}

/// Compares results with limits and collects the violations.
#[derive(Default)]
struct BudgetCheck {
    violations: Vec<BudgetViolation>,
}

impl BudgetCheck {
    fn compare_number(&mut self, limit: &'static str, measured: f64, allowed: Option<f64>) {
        self.compare_time(limit, Some(measured), allowed);
    }

    fn compare_count(&mut self, limit: &'static str, measured: usize, allowed: Option<usize>) {
        let allowed = allowed.map(|allowed| allowed as f64);
        self.compare_number(limit, measured as f64, allowed);
    }

    /// Records a violation if the time is above its limit, or was never reached.
    fn compare_time(&mut self, limit: &'static str, measured: Option<f64>, allowed: Option<f64>) {
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
