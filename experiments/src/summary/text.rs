//! A summary as people read it.
use super::{Delays, ListenerSummary, Summary};

impl Summary {
    /// `answered N of N, rules kept`, or what broke.
    pub fn line(&self) -> String {
        let owed = self.sessions - self.excused;
        let mut broken: Vec<String> = (1..)
            .zip(self.rules)
            .filter(|(_, count)| *count > 0)
            .map(|(rule, count)| format!("rule {rule} broken {count} times"))
            .collect();
        broken.extend(
            self.together.iter().map(|(rule, (count, first))| {
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
    pub fn page(&self) -> String {
        let mut lines = vec![format!(
            "{} / {} / seed {}: {}",
            self.scenario,
            self.way,
            self.seed,
            self.line()
        )];
        lines.extend(self.totals());
        lines.extend(self.listeners.iter().map(listener));
        for (number, relay) in self.relays.iter().enumerate() {
            lines.push(format!(
                "  relay {number}     {:.2} s of CPU, {:.1} MB at most, {:.1} MB at the end",
                relay.cpu_s, relay.most_resident_mb, relay.last_resident_mb
            ));
        }
        lines.push(self.testbed());
        for first in &self.first_breaks {
            lines.push(format!(
                "  rule {} broke at {:.3} s: {}",
                first.rule, first.at_s, first.what
            ));
            lines.extend(first.story.iter().map(|event| format!("    {event}")));
        }
        lines.join("\n")
    }

    fn totals(&self) -> Vec<String> {
        vec![
            format!(
                "  answers     up {}  busy {}  failed {}  none {}  moved {}  cut off {}  gave up {}",
                self.up,
                self.busy,
                self.failed,
                self.unanswered,
                self.moved,
                self.cut_off,
                self.lost
            ),
            format!("  served      {:.3} of the utility asked for", self.served),
            format!("  set-up      {}", delays(&self.set_up)),
            format!("  lines       {}", delays(&self.lines)),
            format!(
                "  dials       {:.3} a session, {} at most; cold budget used {:.2}",
                self.dials_a_session, self.most_dials, self.cold_push
            ),
            format!(
                "  boxes       {} standing at most, spread of load {:.2}, greatest load {:.2}",
                self.most_standing, self.load_spread, self.most_load
            ),
        ]
    }

    fn testbed(&self) -> String {
        let lateness = if self.tool_was_late {
            ": TOO LATE, delays say little"
        } else {
            ""
        };
        format!(
            "  the tool    came late by p99 {:.1} ms, worked {:.0}% of its time{lateness}",
            self.tool_late.p99,
            self.tool_busy * 100.0,
        )
    }
}

fn delays(delays: &Delays) -> String {
    format!(
        "p50 {:.1}  p90 {:.1}  p99 {:.1}  p99.9 {:.1}  most {:.1} ms",
        delays.p50, delays.p90, delays.p99, delays.p99_9, delays.most
    )
}

fn listener(row: &ListenerSummary) -> String {
    format!(
        "  {:<11} up {}  busy {}  failed {}  served {:.3}  dials {} at most, further {:.3}, \
         second {:.3}; longest {:.0} ms",
        row.name,
        row.up,
        row.busy,
        row.failed,
        row.served,
        row.most_dials,
        row.further,
        row.second,
        row.longest_answer_ms
    )
}
