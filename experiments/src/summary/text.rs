//! The summary of a run as text for people.
use super::{Delays, ListenerSummary, Summary};

impl Summary {
    /// Returns the result in one line: `answered N of N, rules kept`, or the violations.
    pub fn headline(&self) -> String {
        let required = self.sessions - self.excused;
        let mut failures: Vec<String> = (1..)
            .zip(self.violation_counts)
            .filter(|(_, count)| *count > 0)
            .map(|(invariant, count)| format!("rule {invariant} broken {count} times"))
            .collect();
        failures.extend(
            self.cluster_violations
                .iter()
                .map(|(invariant, (count, first))| {
                    format!("{invariant}: broken {count} times, first: {first}")
                }),
        );
        if self.crashes > 0 {
            failures.push(format!("{} relay failures", self.crashes));
        }
        let verdict = if failures.is_empty() {
            "rules kept".into()
        } else {
            failures.join(", ")
        };
        let interrupted = if self.complete { "" } else { " (interrupted)" };
        format!(
            "answered {} of {required}, {verdict}{interrupted}",
            self.answered
        )
    }

    /// Returns all figures, one line for each group, and the first violation of each invariant.
    pub fn report_text(&self) -> String {
        let mut lines = vec![format!(
            "{} / {} / seed {}: {}",
            self.scenario,
            self.target,
            self.seed,
            self.headline()
        )];
        lines.extend(self.total_lines());
        lines.extend(self.listeners.iter().map(listener_line));
        for (number, relay) in self.relays.iter().enumerate() {
            lines.push(format!(
                "  relay {number}     {:.2} s of CPU, {:.1} MB at most, {:.1} MB at the end",
                relay.cpu_s, relay.max_resident_mb, relay.last_resident_mb
            ));
        }
        lines.push(self.testbed_line());
        for first in &self.first_violations {
            lines.push(format!(
                "  rule {} first broken at {:.3} s: {}",
                first.invariant, first.at_s, first.description
            ));
            lines.extend(first.timeline.iter().map(|event| format!("    {event}")));
        }
        lines.join("\n")
    }

    fn total_lines(&self) -> Vec<String> {
        vec![
            format!(
                "  sessions    accepted {}  rejected {}  failed {}  unanswered {}  migrated {}  \
                 connections lost {}  gave up {}",
                self.accepted,
                self.rejected,
                self.failed,
                self.unanswered,
                self.migrated,
                self.connections_lost,
                self.gave_up
            ),
            format!(
                "  served      {:.3} of the requested seconds, weighted by listener",
                self.served
            ),
            format!("  set-up      {}", delays_text(&self.setup_delays)),
            format!("  lines       {}", delays_text(&self.message_delays)),
            format!(
                "  attempts    {:.3} per session, {} at most; warm-up budget used {:.2}",
                self.attempts_per_session, self.max_attempts, self.warm_up_budget_used
            ),
            format!(
                "  backends    {} established at most, load spread {:.2}, greatest load {:.2}",
                self.max_established, self.load_spread, self.max_load
            ),
        ]
    }

    fn testbed_line(&self) -> String {
        let lateness = if self.testbed_was_late {
            ": TOO SLOW, delays are unreliable"
        } else {
            ""
        };
        format!(
            "  testbed     connect delay p99 {:.1} ms, busiest thread {:.0}% busy{lateness}",
            self.testbed_connect_delay.p99,
            self.testbed_busy_share * 100.0,
        )
    }
}

fn delays_text(delays: &Delays) -> String {
    format!(
        "p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  max {:.1} ms",
        delays.p50, delays.p90, delays.p99, delays.p99_9, delays.max
    )
}

fn listener_line(listener: &ListenerSummary) -> String {
    format!(
        "  {:<11} accepted {}  rejected {}  failed {}  served {:.3}  attempts {} at most, \
         per session {:.3} retries, {:.3} hedged; longest answer {:.0} ms",
        listener.name,
        listener.accepted,
        listener.rejected,
        listener.failed,
        listener.served,
        listener.max_attempts,
        listener.retries_per_session,
        listener.hedged_per_session,
        listener.longest_answer_ms
    )
}
