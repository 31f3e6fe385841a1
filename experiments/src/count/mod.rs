//! Counts over the logs of a whole fleet, a file a relay at level debug: what all relays did
//! together in each span, and what each backend reported and was asked. What one relay's log shows
//! as harmless is seen here by its sum.
mod log_line;

use log_line::{LogLine, LoggedEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why logs could not be counted.
#[derive(Debug, Error)]
pub enum CountError {
    /// The span is no time.
    #[error("the span must be longer than no time")]
    EmptySpan,
    /// A folder or file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// No line could be counted.
    #[error("{0}: no line to count; relays must log at debug")]
    NoEvents(PathBuf),
}

/// What was seen of one backend within a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct BackendCounts {
    reports: u32,
    /// Sums over the reports.
    load: f64,
    connections: f64,
    attempts: u32,
}

/// The counts, by the number of the span.
#[derive(Debug, Default)]
pub struct Counts {
    span_s: f64,
    relays: usize,
    events: BTreeMap<u64, BTreeMap<String, u32>>,
    backends: BTreeMap<String, BTreeMap<u64, BackendCounts>>,
}

impl Counts {
    fn new(span_s: f64) -> Counts {
        Counts {
            span_s,
            ..Counts::default()
        }
    }

    /// Reads every `.log` of a folder; spans are of so many seconds.
    ///
    /// # Errors
    /// The span is empty, the folder or a file can't be read, or no line could be counted.
    pub fn read(folder: &Path, span_s: f64) -> Result<Counts, CountError> {
        if span_s.is_nan() || span_s <= 0.0 {
            return Err(CountError::EmptySpan);
        }
        let mut counts = Counts::new(span_s);
        for path in log_files(folder)? {
            match std::fs::read(&path) {
                Ok(text) => counts.add(&String::from_utf8_lossy(&text)),
                Err(source) => return Err(CountError::Unreadable { path, source }),
            }
        }
        if counts.events.is_empty() {
            return Err(CountError::NoEvents(folder.to_path_buf()));
        }
        Ok(counts)
    }

    /// Adds one relay's log.
    fn add(&mut self, log: &str) {
        self.relays += 1;
        for line in log.lines().filter_map(LogLine::parse) {
            if let Some(event) = LoggedEvent::parse(line.message) {
                let span = (line.at_s / self.span_s) as u64;
                self.add_event(span, &event);
            }
        }
    }

    fn add_event(&mut self, span: u64, event: &LoggedEvent) {
        let in_span = self.events.entry(span).or_default();
        *in_span.entry(event.label()).or_default() += 1;
        let backend = event.field("backend");
        if backend.is_empty() {
            return;
        }
        let spans = self.backends.entry(backend.to_string()).or_default();
        let counts = spans.entry(span).or_default();
        counts.attempts += u32::from(event.name == "connect");
        if let ("health_checked", Some(load)) = (event.name, event.number("load")) {
            counts.reports += 1;
            counts.load += load;
            counts.connections += event.number("connections").unwrap_or_default();
        }
    }

    /// Two tables: events by span, and for each backend its mean load, the connections it reported
    /// and the attempts, by span.
    pub fn table(&self) -> String {
        format!(
            "{} relays, spans of {} s\n\n{}\n\n{}\n",
            self.relays,
            self.span_s,
            self.event_table(),
            self.backend_table()
        )
    }

    fn span_start(&self, span: u64) -> f64 {
        span as f64 * self.span_s
    }

    fn event_table(&self) -> String {
        let labels: BTreeSet<&String> = self.events.values().flat_map(BTreeMap::keys).collect();
        let mut table = String::from("| from s |");
        for label in &labels {
            table += &format!(" {label} |");
        }
        table += &rule(labels.len());
        for (&span, counts) in &self.events {
            table += &format!("\n| {} |", self.span_start(span));
            for label in &labels {
                table += &format!(" {} |", counts.get(*label).unwrap_or(&0));
            }
        }
        table
    }

    fn backend_table(&self) -> String {
        let mut table = String::from("| backend: load / connections + attempts |");
        for &span in self.events.keys() {
            table += &format!(" {} |", self.span_start(span));
        }
        table += &rule(self.events.len());
        for (name, spans) in &self.backends {
            table += &format!("\n| {name} |");
            for span in self.events.keys() {
                table += &spans.get(span).copied().unwrap_or_default().cell();
            }
        }
        table
    }
}

/// The line below a table's head, with one column more than these.
fn rule(columns: usize) -> String {
    format!("\n|{}", " --- |".repeat(columns + 1))
}

impl BackendCounts {
    fn cell(self) -> String {
        let reports = f64::from(self.reports);
        match self.reports {
            0 => format!(" - +{} |", self.attempts),
            _ => format!(
                " {:.2}/{:.0} +{} |",
                self.load / reports,
                self.connections / reports,
                self.attempts
            ),
        }
    }
}

fn log_files(folder: &Path) -> Result<Vec<PathBuf>, CountError> {
    let unreadable = |source| CountError::Unreadable {
        path: folder.to_path_buf(),
        source,
    };
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        if path.extension().is_some_and(|extension| extension == "log") {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

#[cfg(test)]
mod tests;
