//! Formats the outcome of a run as a text table.
use super::config::ScaleConfig;
use super::meter::RoleTraffic;
use super::outcome::{Convergence, Cost, Outcome, Phase};
use super::real_relays::RealFigures;

impl Outcome {
    /// Returns the outcome as a text table.
    pub fn table(&self) -> String {
        let mut lines = vec![title(&self.config), header()];
        for phase in &self.phases {
            lines.push(phase_line(
                phase,
                "relay",
                &phase.relay,
                phase.converged.as_ref(),
            ));
            lines.push(phase_line(phase, "voter", &phase.voter, None));
        }
        lines.extend(self.relay.map(|cost| cost_line("relay", cost)));
        lines.extend(self.voter.map(|cost| cost_line("voter", cost)));
        lines.extend(self.real_relays.as_ref().map(real_relays_line));
        lines.push(format!(
            "owned at the end {} of {}; {} holdings seen, two owners at once {}, \
             epochs that did not grow {}",
            self.owned_at_end,
            self.config.subjects,
            self.holdings,
            self.two_owners,
            self.epochs_not_grown
        ));
        if let Some(late) = self.late_ms {
            lines.push(format!(
                "timers in processes of hollow relays were late by up to {late:.0} ms"
            ));
        }
        lines.push(format!(
            "bytes include 28 bytes of headers per datagram; worst: the member with the most; \
             peak: the worst second of any member; the run took {:.0} s",
            self.took_s
        ));
        lines.join("\n") + "\n"
    }
}

/// Returns a description of the links of the fleet.
pub(super) fn describe_links(config: &ScaleConfig) -> &'static str {
    if config.simulated {
        "simulated links"
    } else {
        "UDP on loopback"
    }
}

fn title(config: &ScaleConfig) -> String {
    format!(
        "{} relays, {} voters, {} subjects, {}; period {} ms, term {} ms, seed {}",
        config.relays,
        config.voters,
        config.subjects,
        describe_links(config),
        config.period_ms,
        config.term_ms,
        config.seed
    )
}

fn header() -> String {
    format!(
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
    )
}

fn phase_line(
    phase: &Phase,
    role: &str,
    traffic: &RoleTraffic,
    converged: Option<&Convergence>,
) -> String {
    let time = |seconds: fn(&Convergence) -> Option<f64>| match converged {
        Some(converged) => {
            seconds(converged).map_or("never".into(), |seconds| format!("{seconds:.1}"))
        }
        None => String::new(),
    };
    format!(
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
        time(|converged| converged.members_s),
        time(|converged| converged.owned_s),
    )
}

fn cost_line(role: &str, cost: Cost) -> String {
    format!(
        "each {role}: {:.2}% of a core in calm, {:.2}% in its worst phase, {:.2} MB",
        cost.cpu_percent, cost.worst_cpu_percent, cost.memory_mb
    )
}

fn real_relays_line(real: &RealFigures) -> String {
    format!(
        "each of {} real relays in calm: {:.0} B/s sent ({:.0} to {:.0}), {:.0} received, \
         {:.2}% of a core, {:.1} MB; its answer to PEERS has {} bytes",
        real.relays,
        real.sent_mean,
        real.sent_least,
        real.sent_most,
        real.received_mean,
        real.cpu_percent,
        real.memory_mb,
        real.view_bytes
    )
}
