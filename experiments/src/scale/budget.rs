//! A budget that a run is held to, from a file.
use super::outcome::{Outcome, Phase};
use serde::Deserialize;

/// Limits; one that is not stated is not checked.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Of the relay that sends, or receives, most in calm.
    pub relay_sent_bytes_s: Option<f64>,
    pub relay_received_bytes_s: Option<f64>,
    /// Of the worst second of any relay, in any phase.
    pub relay_worst_second_bytes: Option<u64>,
    pub relay_cpu_percent: Option<f64>,
    pub relay_memory_mb: Option<f64>,
    pub voter_sent_bytes_s: Option<f64>,
    pub voter_cpu_percent: Option<f64>,
    pub voter_memory_mb: Option<f64>,
    /// From the start of all, and from the fault, until all agree and until all is owned.
    pub start_members_s: Option<f64>,
    pub start_owned_s: Option<f64>,
    pub fault_members_s: Option<f64>,
    pub fault_owned_s: Option<f64>,
    pub two_owners: Option<usize>,
    pub not_owned: Option<usize>,
}

/// A limit that was not kept.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub limit: &'static str,
    pub measured: String,
    pub allowed: String,
}

impl std::fmt::Display for Violation {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "{}: {} measured, {} allowed",
            self.limit, self.measured, self.allowed
        )
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BudgetFile {
    budget: Budget,
}

impl Budget {
    /// Whether a text is meant to be one.
    pub fn is_one(text: &str) -> bool {
        text.lines().any(|line| line.trim() == "[budget]")
    }

    /// # Errors
    /// One line: where the text is no budget.
    pub fn parse(text: &str) -> Result<Budget, String> {
        let file: Result<BudgetFile, toml::de::Error> = toml::from_str(text);
        file.map(|file| file.budget).map_err(|fault| {
            let line = fault
                .span()
                .map_or(0, |span| text[..span.start].lines().count());
            format!("line {line}: {}", fault.message())
        })
    }

    /// How many limits are stated.
    pub fn limits(&self) -> usize {
        let floats = [
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
        floats.iter().flatten().count()
            + counts.iter().flatten().count()
            + usize::from(self.relay_worst_second_bytes.is_some())
    }

    pub fn check(&self, outcome: &Outcome) -> Vec<Violation> {
        let mut check = Check::default();
        if let Some(calm) = outcome.phase("calm") {
            check.most(
                "relay_sent_bytes_s",
                Some(calm.relay.sent_of_worst),
                self.relay_sent_bytes_s,
            );
            check.most(
                "relay_received_bytes_s",
                Some(calm.relay.received_of_worst),
                self.relay_received_bytes_s,
            );
            check.most(
                "voter_sent_bytes_s",
                Some(calm.voter.sent_of_worst),
                self.voter_sent_bytes_s,
            );
        }
        let second = |phase: &Phase| {
            phase
                .relay
                .sent_worst_second
                .max(phase.relay.received_worst_second)
        };
        let worst = outcome.phases.iter().map(second).max().unwrap_or(0);
        check.most(
            "relay_worst_second_bytes",
            Some(worst as f64),
            self.relay_worst_second_bytes.map(|one| one as f64),
        );
        // A simulated run has no costs of a process.
        if let Some(relay) = outcome.relay {
            check.most(
                "relay_cpu_percent",
                Some(relay.cpu_percent),
                self.relay_cpu_percent,
            );
            check.most(
                "relay_memory_mb",
                Some(relay.memory_mb),
                self.relay_memory_mb,
            );
        }
        if let Some(voter) = outcome.voter {
            check.most(
                "voter_cpu_percent",
                Some(voter.cpu_percent),
                self.voter_cpu_percent,
            );
            check.most(
                "voter_memory_mb",
                Some(voter.memory_mb),
                self.voter_memory_mb,
            );
        }
        let limits = [
            (
                "start",
                "start_members_s",
                self.start_members_s,
                "start_owned_s",
                self.start_owned_s,
            ),
            (
                "fault",
                "fault_members_s",
                self.fault_members_s,
                "fault_owned_s",
                self.fault_owned_s,
            ),
        ];
        for (phase, members, members_limit, owned, owned_limit) in limits {
            let Some(converged) = outcome.phase(phase).and_then(|phase| phase.converged) else {
                continue;
            };
            check.most(members, converged.members_s, members_limit);
            check.most(owned, converged.owned_s, owned_limit);
        }
        check.most(
            "two_owners",
            Some(outcome.two_owners as f64),
            self.two_owners.map(|one| one as f64),
        );
        let not_owned = outcome.config.subjects.saturating_sub(outcome.owned_at_end);
        check.most(
            "not_owned",
            Some(not_owned as f64),
            self.not_owned.map(|one| one as f64),
        );
        check.violations
    }
}

#[derive(Default)]
struct Check {
    violations: Vec<Violation>,
}

impl Check {
    /// Nothing measured where something was to be reached is a violation as well.
    fn most(&mut self, limit: &'static str, measured: Option<f64>, allowed: Option<f64>) {
        let Some(allowed) = allowed else { return };
        if measured.is_some_and(|measured| measured <= allowed) {
            return;
        }
        let measured = measured.map_or("never".into(), |measured| format!("{measured:.2}"));
        self.violations.push(Violation {
            limit,
            measured,
            allowed: allowed.to_string(),
        });
    }
}
