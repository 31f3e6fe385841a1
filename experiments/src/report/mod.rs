//! The report of a run: a self-contained HTML page with its figures and charts.
mod chart;
mod series;

use crate::plan::FaultMark;
use crate::summary::Summary;
use crate::timeline::plan_begin;
use chart::{Frame, Series, ShadedFault};
use plotters::drawing::DrawingAreaErrorKind;
use series::seconds;
use std::io;
use thiserror::Error;
use thistlecroft::time::Instant;
use thistlecroft_testbed::event_recorder::RecordedEvent;
use thistlecroft_testbed::load_generator::LoadTotals;

const PASSED_COLOR: &str = "#2c7a2c";
const FAILED_COLOR: &str = "#b22222";

/// An error while making a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A chart can't be drawn.
    #[error("chart can't be drawn: {0}")]
    Chart(#[from] DrawingAreaErrorKind<io::Error>),
    /// There are no totals of the load generator.
    #[error("report: no totals of the load generator")]
    NoLoadTotals,
}

/// Returns the report of a run as HTML.
pub(crate) fn html(
    summary: &Summary,
    events: &[RecordedEvent],
    marks: &[FaultMark],
    load_totals: &[LoadTotals],
) -> Result<String, ReportError> {
    let charts = charts(events, marks, load_totals)?;
    let color = if summary.passed() {
        PASSED_COLOR
    } else {
        FAILED_COLOR
    };
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font:15px/1.45 sans-serif;max-width:980px;margin:2em auto;color:#222}}\
         pre{{background:#f6f6f6;padding:1em;overflow-x:auto;font-size:13px}}h1{{font-size:22px}}\
         .line{{font-size:18px;color:{color}}}svg{{max-width:100%;height:auto}}</style>\
         <h1>{name}: {target}, seed {seed}</h1><p class=\"line\">{line}</p>\
         <pre>{page}</pre>{charts}</html>\n",
        name = escape(&summary.scenario),
        target = escape(&summary.target),
        seed = summary.seed,
        line = escape(&summary.headline()),
        page = escape(&summary.report_text()),
        charts = charts.join("\n"),
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn charts(
    events: &[RecordedEvent],
    marks: &[FaultMark],
    load_totals: &[LoadTotals],
) -> Result<Vec<String>, ReportError> {
    let end = events.last().map_or(Instant::default(), |last| last.at);
    let faults = shaded_faults(events, marks, end_seconds(end));
    let over_time = |title: &str, unit: &str, series: &[Series]| {
        let frame = Frame {
            title,
            unit,
            end: end_seconds(end),
            faults: &faults,
        };
        chart::over_time(&frame, series)
    };
    let (first, others) = load_totals.split_first().ok_or(ReportError::NoLoadTotals)?;
    let mut totals = first.clone();
    for other in others {
        totals.add(other);
    }
    let mut charts = vec![
        over_time(
            "Answers over time",
            "per second",
            &series::answers(events, end),
        )?,
        over_time(
            "Load of each backend divided by its capacity",
            "load",
            &series::backend_loads(events),
        )?,
        chart::quantiles(
            "Delay of set-ups (from when a client was due) and of lines",
            &series::delays(&totals),
        )?,
    ];
    let costs = series::relay_costs(events);
    if !costs.cpu.is_empty() {
        charts.push(over_time("CPU of each relay", "% of a core", &costs.cpu)?);
        charts.push(over_time(
            "Resident memory of each relay",
            "MB",
            &costs.memory,
        )?);
    }
    Ok(charts)
}

/// Returns the end of the time axis in seconds. It is at least 1, even for a run of no length.
fn end_seconds(end: Instant) -> f64 {
    seconds(end).max(1.0)
}

fn shaded_faults(events: &[RecordedEvent], marks: &[FaultMark], end: f64) -> Vec<ShadedFault> {
    let begin = seconds(plan_begin(events));
    let run_time = |plan_time| begin + seconds(plan_time);
    marks
        .iter()
        .map(|mark| ShadedFault {
            name: mark.name.clone(),
            from: run_time(mark.from),
            to: mark.to.map_or(end, |to| run_time(to).min(end)),
        })
        .collect()
}
