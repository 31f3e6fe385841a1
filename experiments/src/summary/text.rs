//! A summary as people read it.
use super::{Delays, ListenerSummary, Summary};

impl Summary {
    /// `answered N of N, rules kept`, or what broke.
    pub fn headline(&self) -> String {
        let owed = self.sessions - self.excused;
        let mut broken: Vec<String> = (1..)
            .zip(self.violation_counts)
            .filter(|(_, count)| *count > 0)
            .map(|(rule, count)| format!("rule {rule} broken {count} times"))
            .collect();
        broken.extend(
            self.cluster_violations
                .iter()
                .map(|(rule, (count, first))| {
                    format!("{rule}: broken {count} times, first: {first}")
                }),
        );
        if self.crashes > 0 {
            broken.push(format!("{} relays crashed", self.crashes));
        }
        let rules = if broken.is_empty() {
            "rules kept".into()
        } else {
            broken.join(", ")
        };
        let interrupted = if self.complete { "" } else { " (interrupted)" };
        format!("answered {} of {owed}, {rules}{interrupted}", self.answered)
    }

    /// All figures, a line for each group of them.
    pub fn report_text(&self) -> String {
        let mut lines = vec![format!(
            "{} / {} / seed {}: {}",
            self.scenario,
            self.target,
            self.seed,
            self.headline()
        )];
        lines.extend(self.totals());
        lines.extend(self.listeners.iter().map(listener));
        for (number, relay) in self.relays.iter().enumerate() {
            lines.push(format!(
                "  relay {number}     {:.2} s of CPU, {:.1} MB at most, {:.1} MB at the end",
                relay.cpu_s, relay.max_resident_mb, relay.last_resident_mb
            ));
        }
        lines.push(self.testbed());
        for first in &self.first_violations {
            lines.push(format!(
                "  rule {} broke at {:.3} s: {}",
                first.rule, first.at_s, first.description
            ));
            lines.extend(first.timeline.iter().map(|event| format!("    {event}")));
        }
        lines.join("\n")
    }

    fn totals(&self) -> Vec<String> {
        vec![
            format!(
                "  answers     up {}  busy {}  failed {}  none {}  moved {}  cut off {}  gave up {}",
                self.accepted,
                self.rejected,
                self.failed,
                self.unanswered,
                self.migrated,
                self.connections_lost,
                self.gave_up
            ),
            format!("  served      {:.3} of the utility asked for", self.served),
            format!("  set-up      {}", delays(&self.setup_delays)),
            format!("  lines       {}", delays(&self.message_delays)),
            format!(
                "  dials       {:.3} a session, {} at most; cold budget used {:.2}",
                self.attempts_per_session, self.max_attempts, self.warm_up_budget_used
            ),
            format!(
                "  boxes       {} standing at most, spread of load {:.2}, greatest load {:.2}",
                self.max_established, self.load_spread, self.max_load
            ),
        ]
    }

    fn testbed(&self) -> String {
        let lateness = if self.testbed_was_late {
            ": TOO LATE, delays say little"
        } else {
            ""
        };
        format!(
            "  the tool    came late by p99 {:.1} ms, worked {:.0}% of its time{lateness}",
            self.testbed_connect_delay.p99,
            self.testbed_busy_share * 100.0,
        )
    }
}

fn delays(delays: &Delays) -> String {
    format!(
        "p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  most {:.1} ms",
        delays.p50, delays.p90, delays.p99, delays.p99_9, delays.max
    )
}

fn listener(row: &ListenerSummary) -> String {
    format!(
        "  {:<11} up {}  busy {}  failed {}  served {:.3}  dials {} at most, further {:.3}, \
         second {:.3}; longest {:.0} ms",
        row.name,
        row.accepted,
        row.rejected,
        row.failed,
        row.served,
        row.max_attempts,
        row.retries_per_session,
        row.hedged_per_session,
        row.longest_answer_ms
    )
}
