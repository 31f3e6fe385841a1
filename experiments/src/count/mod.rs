//! Counts over the logs of a whole fleet, a file a relay at level debug: what all relays did
//! together in each span, and what each box told of itself and was dialled. What one relay's log
//! shows as harmless is seen here by its sum.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// What one box told and met within a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Met {
    reports: u32,
    load: f64,
    held: f64,
    dials: u32,
}

/// The counts, by the number of the span.
#[derive(Debug, Default)]
pub struct Counts {
    span_s: f64,
    relays: usize,
    events: BTreeMap<u64, BTreeMap<String, u32>>,
    boxes: BTreeMap<String, BTreeMap<u64, Met>>,
}

impl Counts {
    /// Spans are of so many seconds.
    pub fn new(span_s: f64) -> Counts {
        Counts {
            span_s,
            ..Counts::default()
        }
    }

    /// Reads every `.log` of a folder.
    ///
    /// # Errors
    /// One line: the folder or a file can't be read, or holds no line that could be counted.
    pub fn read(folder: &Path, span_s: f64) -> Result<Counts, String> {
        if span_s.is_nan() || span_s <= 0.0 {
            return Err("the span must be longer than no time".into());
        }
        let told = |fault: std::io::Error| format!("{}: {fault}", folder.display());
        let mut counts = Counts::new(span_s);
        let mut paths = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(told)? {
            paths.push(entry.map_err(told)?.path());
        }
        paths.sort();
        for path in paths
            .iter()
            .filter(|path| path.extension().is_some_and(|ending| ending == "log"))
        {
            let text =
                std::fs::read(path).map_err(|fault| format!("{}: {fault}", path.display()))?;
            counts.add(&String::from_utf8_lossy(&text));
        }
        if counts.events.is_empty() {
            return Err(format!(
                "{}: no line to count; relays must log at debug",
                folder.display()
            ));
        }
        Ok(counts)
    }

    /// One relay's log.
    pub fn add(&mut self, log: &str) {
        self.relays += 1;
        for line in log.lines() {
            let Some((at_s, said)) = moment_of(line) else {
                continue;
            };
            let mut words = said.split(' ');
            let Some(name) = words.next().filter(|name| EVENTS.contains(name)) else {
                continue;
            };
            let values: BTreeMap<&str, &str> =
                words.filter_map(|word| word.split_once('=')).collect();
            let value = |key: &str| values.get(key).copied().unwrap_or_default();
            let span = (at_s / self.span_s) as u64;
            let number = |key: &str| value(key).parse::<f64>().ok().filter(|value| *value >= 0.0);
            let label = match name {
                "ended" => format!("ended:{}", value("verdict")),
                "probed" if value("verdict") != "Ok" => format!("probed:{}", value("verdict")),
                "probed" if number("load").is_none() && number("held").is_none() => {
                    "probed:nothing".into()
                }
                _ => name.to_string(),
            };
            *self
                .events
                .entry(span)
                .or_default()
                .entry(label)
                .or_default() += 1;
            if value("box").is_empty() {
                continue;
            }
            let met = self
                .boxes
                .entry(value("box").to_string())
                .or_default()
                .entry(span)
                .or_default();
            met.dials += u32::from(name == "dial");
            if let ("probed", Some(load)) = (name, number("load")) {
                met.reports += 1;
                met.load += load;
                met.held += number("held").unwrap_or_default();
            }
        }
    }

    /// Two tables: events by span, and for each box its mean load, the connections it told and the
    /// dials, by span.
    pub fn table(&self) -> String {
        let labels: BTreeSet<&String> = self.events.values().flat_map(|row| row.keys()).collect();
        let mut out = format!(
            "{} relays, spans of {} s\n\n| from s |",
            self.relays, self.span_s
        );
        labels
            .iter()
            .for_each(|label| out += &format!(" {label} |"));
        out += &format!("\n|{}", " --- |".repeat(labels.len() + 1));
        for (span, row) in &self.events {
            out += &format!("\n| {} |", *span as f64 * self.span_s);
            for label in &labels {
                out += &format!(" {} |", row.get(*label).unwrap_or(&0));
            }
        }
        out += "\n\n| box: load / connections + dials |";
        self.events
            .keys()
            .for_each(|span| out += &format!(" {} |", *span as f64 * self.span_s));
        out += &format!("\n|{}", " --- |".repeat(self.events.len() + 1));
        for (name, row) in &self.boxes {
            out += &format!("\n| {name} |");
            for span in self.events.keys() {
                let met = row.get(span).copied().unwrap_or_default();
                let reports = f64::from(met.reports);
                out += &match met.reports {
                    0 => format!(" - +{} |", met.dials),
                    _ => format!(
                        " {:.2}/{:.0} +{} |",
                        met.load / reports,
                        met.held / reports,
                        met.dials
                    ),
                };
            }
        }
        out + "\n"
    }
}

/// Of `relay/src/trace.rs`.
const EVENTS: &[&str] = &[
    "arrived",
    "dial",
    "ended",
    "inherited",
    "left",
    "list",
    "probe",
    "probed",
    "ready",
    "refuse",
    "sent_away",
    "subscribe",
    "torn_down",
    "withdraw",
];

/// Seconds, from before the stamp where a collector wrote them there, else of the stamp's day; and
/// what was said.
fn moment_of(line: &str) -> Option<(f64, &str)> {
    let (before, rest) = line.split_once('[')?;
    let (stamp, said) = rest.split_once("] ")?;
    if let Ok(at_s) = before.trim().parse() {
        return Some((at_s, said));
    }
    let clock = stamp.split_once('T')?.1.get(..8)?;
    let parts: Vec<f64> = clock
        .split(':')
        .map(str::parse)
        .collect::<Result<_, _>>()
        .ok()?;
    Some((parts.iter().fold(0.0, |sum, part| sum * 60.0 + part), said))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_relays_did_is_summed_by_span_and_box() {
        let mut counts = Counts::new(2.0);
        counts.add(
            "0.500 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=4 load=0.250\n\
             0.700 [2026-12-01T17:30:44Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=-1 load=-1.000\n\
             2.000 [2026-12-01T17:30:46Z DEBUG thistlecroft_relay::trace] dial session=1 box=b wait_ms=300\n\
             2.100 [2026-12-01T17:30:46Z WARN thistlecroft_relay::discovery] discovery at here: silent\n\
             no stamp at all\n",
        );
        counts.add(
            "1.900 [2026-12-01T17:30:45Z DEBUG thistlecroft_relay::trace] probed box=b verdict=Ok held=6 load=0.750\n\
             3.999 [2026-12-01T17:30:47Z DEBUG thistlecroft_relay::trace] ended session=1 dial=0 verdict=Reset over=true\n",
        );
        let table = counts.table();
        for expected in [
            "2 relays, spans of 2 s",
            "| from s | dial | ended:Reset | probed | probed:nothing |",
            "| 0 | 0 | 0 | 2 | 1 |",
            "| 2 | 1 | 1 | 0 | 0 |",
            "| b | 0.50/5 +0 | - +1 |",
        ] {
            assert!(table.contains(expected), "{expected}\n{table}");
        }
        // Without a collector's seconds the stamp's own count.
        let stamped = moment_of("[2026-12-01T01:02:03Z DEBUG x] dial session=1 box=b wait_ms=1");
        assert_eq!(stamped, Some((3_723.0, "dial session=1 box=b wait_ms=1")));
    }

    #[test]
    fn a_folder_with_nothing_to_count_is_one_line() {
        let folder =
            std::env::temp_dir().join(format!("thistlecroft-count-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::write(
            folder.join("n0.log"),
            "[2026-12-01T01:02:03Z INFO x] serves\n",
        )
        .unwrap();
        for (path, span_s, expected) in [
            (folder.as_path(), 1.0, "no line to count"),
            (folder.as_path(), 0.0, "longer than no time"),
            (Path::new("/nowhere/at/all"), 1.0, "/nowhere/at/all"),
        ] {
            let fault = Counts::read(path, span_s).unwrap_err();
            assert!(fault.contains(expected) && !fault.contains('\n'), "{fault}");
        }
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
