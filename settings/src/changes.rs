//! The differences between two settings, as text for the log.
use crate::Settings;
use std::fmt;
use thistlecroft::deployment::{DeduplicationScope, Idempotency, RetryBudget};
use thistlecroft::time::Duration;

impl Settings {
    /// Returns a line for each limit that differs in `later`. The limits that depend on routes are
    /// left out.
    pub fn changes_to(&self, later: &Settings) -> Vec<String> {
        let mut changes = ChangeRecorder::default();
        for (index, name) in self.listeners.iter().enumerate() {
            if let Some(other) = later.listeners.iter().position(|listed| listed == name) {
                let (before, after) = (self.limits_of(index), later.limits_of(other));
                changes.record(&format!("listener {name}"), before, after);
            }
        }
        changes.record(
            "shutdown timeout",
            Milliseconds(self.shutdown_timeout),
            Milliseconds(later.shutdown_timeout),
        );
        changes.record(
            "drain grace",
            Milliseconds(self.drain_grace),
            Milliseconds(later.drain_grace),
        );
        changes.record(
            "retry budget",
            Budget(self.deployment.retry_budget),
            Budget(later.deployment.retry_budget),
        );
        changes.lines
    }

    fn limits_of(&self, listener: usize) -> ListenerLimits {
        ListenerLimits {
            client_timeout: self.client_timeouts[listener],
            idempotency: self.deployment.routes[listener].idempotency,
        }
    }
}

#[derive(Default)]
struct ChangeRecorder {
    lines: Vec<String>,
}

impl ChangeRecorder {
    fn record<T: PartialEq + fmt::Display>(&mut self, subject: &str, before: T, after: T) {
        if before != after {
            self.lines.push(format!("{subject}: {before} -> {after}"));
        }
    }
}

#[derive(PartialEq)]
struct Milliseconds(Duration);

impl fmt::Display for Milliseconds {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} ms", self.0.as_micros() / 1_000)
    }
}

#[derive(PartialEq)]
struct ListenerLimits {
    client_timeout: Duration,
    idempotency: Idempotency,
}

impl fmt::Display for ListenerLimits {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "timeout {}, ", Milliseconds(self.client_timeout))?;
        match self.idempotency {
            Idempotency::Idempotent => write!(out, "idempotent"),
            Idempotency::NonIdempotent => write!(out, "non-idempotent"),
            Idempotency::Keyed { scope, window } => {
                let backends = match scope {
                    DeduplicationScope::All => "all backends",
                    DeduplicationScope::Zone => "one zone",
                    DeduplicationScope::Cell => "one cell",
                };
                write!(out, "keyed in {backends} for {}", Milliseconds(window))
            }
        }
    }
}

#[derive(PartialEq)]
struct Budget(Option<RetryBudget>);

impl fmt::Display for Budget {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            None => write!(out, "none"),
            Some(budget) => write!(
                out,
                "{} and {} a session in {}",
                budget.free,
                budget.share,
                Milliseconds(budget.window)
            ),
        }
    }
}
