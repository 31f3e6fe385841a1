//! Counts events in the debug logs of a whole fleet, one file per relay: the events of all relays
//! together in each time span, and the load reports and attempts of each backend. The sums show
//! problems that are too small to be seen in the log of a single relay.
mod log_line;

use log_line::{LogLine, LoggedEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error while counting logs.
#[derive(Debug, Error)]
pub enum CountError {
    /// The span is not a positive number.
    #[error("the span must be longer than no time")]
    EmptySpan,
    /// A folder or file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file or folder.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// No log contains an event that is counted.
    #[error("{0}: no .log file with an event to count; relays must log at level debug")]
    NoEvents(PathBuf),
}

/// The counts of one backend within a span.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct BackendCounts {
    reports: u32,
    /// The sum of the loads of all reports.
    load: f64,
    /// The sum of the connections of all reports.
    connections: f64,
    attempts: u32,
}

/// The counts of a fleet's logs, by the index of the span.
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

    /// Reads every `.log` file of a folder and counts its events in spans of `span_s` seconds.
    ///
    /// # Errors
    /// Returns an error if the span is not positive, the folder or a file can't be read, or there
    /// is no event to count.
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

    /// Returns two tables by span: the events, and for each backend its mean reported load, its
    /// mean reported connections and the attempts.
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
        table += &header_separator(labels.len());
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
        table += &header_separator(self.events.len());
        for (name, spans) in &self.backends {
            table += &format!("\n| {name} |");
            for span in self.events.keys() {
                table += &spans.get(span).copied().unwrap_or_default().cell();
            }
        }
        table
    }
}

/// Returns the line below a table's header, for `columns` columns after the first.
fn header_separator(columns: usize) -> String {
    format!("\n|{}", " --- |".repeat(columns + 1))
}

impl BackendCounts {
    /// Returns the table cell of a backend in a span.
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
