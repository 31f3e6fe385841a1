//! A run's page: its figures and four plots, to be read in a minute and opened without anything
//! beside it.
use crate::plan::FaultMark;
use crate::summary::{Summary, rounds};
use crate::timeline::plan_begin;
use plotters::coord::ranged1d::Ranged;
use plotters::prelude::*;
use std::collections::BTreeMap;
use thistlecroft::time::{Duration, Instant};
use thistlecroft_testbed::event_recorder::{Answer, Observation, RecordedEvent, RelayIndex};
use thistlecroft_testbed::load_generator::LoadTotals;

const SIZE: (u32, u32) = (960, 300);
/// Answers are counted in steps of this.
const STEP: Duration = Duration::from_millis(500);
const HUES: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(90, 90, 90),
];

struct Line {
    name: String,
    hue: RGBColor,
    points: Vec<(f64, f64)>,
    /// Drawn thin and not named: one of many.
    faint: bool,
}

struct Frame<'a> {
    title: &'a str,
    unit: &'a str,
    until: f64,
    marks: &'a [(String, f64, f64)],
}

fn failed(fault: DrawingAreaErrorKind<std::io::Error>) -> String {
    format!("plot: {fault}")
}

fn legend<'a, X, Y>(
    chart: &mut ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>,
    at: SeriesLabelPosition,
) -> Result<(), String>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    let labels = &mut chart.configure_series_labels();
    let labels = labels
        .position(at)
        .background_style(WHITE.mix(0.8))
        .label_font(("sans-serif", 12));
    labels.draw().map_err(failed)
}

fn chart(frame: &Frame, lines: &[Line]) -> Result<String, String> {
    let mut svg = String::new();
    let most = lines
        .iter()
        .flat_map(|line| &line.points)
        .map(|&(_, y)| y)
        .fold(0.0, f64::max)
        .max(1e-3)
        * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(frame.title, ("sans-serif", 17))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(58)
            .build_cartesian_2d(0.0..frame.until, 0.0..most)
            .map_err(failed)?;
        for (number, (what, from, to)) in frame.marks.iter().enumerate() {
            let shade = HUES[1].mix(0.08);
            let rectangle = Rectangle::new([(*from, 0.0), (*to, most)], shade.filled());
            chart.draw_series([rectangle]).map_err(failed)?;
            // Three rows, so that names of faults close together can be read.
            let height = most * (0.97 - 0.08 * (number % 3) as f64);
            let style = ("sans-serif", 11).into_font().color(&HUES[1]);
            chart
                .draw_series([Text::new(what.clone(), (*from, height), style)])
                .map_err(failed)?;
        }
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("seconds")
            .y_desc(frame.unit)
            .label_style(("sans-serif", 12))
            .draw()
            .map_err(failed)?;
        for line in lines {
            let style = if line.faint {
                line.hue.mix(0.35).stroke_width(1)
            } else {
                line.hue.stroke_width(2)
            };
            let drawn = chart
                .draw_series(LineSeries::new(line.points.iter().copied(), style))
                .map_err(failed)?;
            if !line.faint {
                let hue = line.hue;
                drawn.label(line.name.clone()).legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], hue.stroke_width(2))
                });
            }
        }
        legend(&mut chart, SeriesLabelPosition::UpperRight)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

/// Delays against the part of clients that had no more, on logarithmic scales.
fn distribution(crowd: &LoadTotals) -> Result<String, String> {
    let mut svg = String::new();
    let mut lines = Vec::new();
    for (place, kind) in crowd.listeners.iter().enumerate() {
        for (what, of, dashed) in [
            ("set-up", &kind.setup_latency, false),
            ("lines", &kind.message_latency, true),
        ] {
            if of.is_empty() {
                continue;
            }
            let points: Vec<(f64, f64)> = (0..=60)
                .map(|step| 10f64.powf(f64::from(step) / 20.0))
                .map(|rarity| {
                    (
                        rarity,
                        of.value_at_quantile(1.0 - 1.0 / rarity) as f64 / 1e3,
                    )
                })
                .collect();
            lines.push((
                format!("{} {what}", kind.name),
                HUES[place % HUES.len()],
                dashed,
                points,
            ));
        }
    }
    let most = lines
        .iter()
        .flat_map(|(.., points)| points)
        .map(|&(_, y)| y)
        .fold(1.0, f64::max)
        * 1.5;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(failed)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                "Delay of set-ups (from when a client was due) and of lines",
                ("sans-serif", 17),
            )
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(58)
            .build_cartesian_2d((1.0..1_000.0).log_scale(), (0.01..most).log_scale())
            .map_err(failed)?;
        chart
            .configure_mesh()
            .x_desc("one in so many is slower")
            .y_desc("ms")
            .label_style(("sans-serif", 12))
            .draw()
            .map_err(failed)?;
        for (name, hue, dashed, points) in lines {
            let width = if dashed { 1 } else { 2 };
            chart
                .draw_series(LineSeries::new(points, hue.stroke_width(width)))
                .map_err(failed)?
                .label(name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 16, y)], hue.stroke_width(width))
                });
        }
        legend(&mut chart, SeriesLabelPosition::UpperLeft)?;
        area.present().map_err(failed)?;
    }
    Ok(svg)
}

fn seconds(at: Instant) -> f64 {
    at.as_micros() as f64 / 1e6
}

fn box_lines(entries: &[RecordedEvent]) -> Vec<Line> {
    let mut boxes: BTreeMap<u16, Vec<(f64, f64)>> = BTreeMap::new();
    let mut mean = Vec::new();
    for (at, round) in rounds(entries) {
        let at = seconds(at);
        round
            .iter()
            .for_each(|(of, load, _)| boxes.entry(of.0).or_default().push((at, *load)));
        mean.push((
            at,
            round.iter().map(|(_, load, _)| load).sum::<f64>() / round.len() as f64,
        ));
    }
    let each = boxes.into_iter().map(|(number, points)| Line {
        name: String::new(),
        hue: HUES[usize::from(number) % HUES.len()],
        points,
        faint: true,
    });
    let mean = Line {
        name: "mean of all".into(),
        hue: BLACK,
        points: mean,
        faint: false,
    };
    each.chain([mean]).collect()
}

fn answer_lines(entries: &[RecordedEvent], until: Instant) -> Vec<Line> {
    let steps = (until.as_micros() / STEP.as_micros() + 1) as usize;
    let mut counts = vec![[0_u32; 5]; steps];
    for entry in entries {
        let kind = match entry.observation {
            Observation::Answered {
                answer: Answer::Accepted,
                ..
            } => 0,
            Observation::Answered {
                answer: Answer::Rejected(_),
                ..
            } => 1,
            Observation::Answered {
                answer: Answer::Failed,
                ..
            }
            | Observation::AnswerTimedOut { .. }
            | Observation::ClosedUnanswered { .. } => 2,
            Observation::Migrated { .. } => 3,
            Observation::ConnectionLost { .. } => 4,
            _ => continue,
        };
        let step = ((entry.at.as_micros() / STEP.as_micros()) as usize).min(steps - 1);
        counts[step][kind] += 1;
    }
    let names = ["up", "busy", "failed or none", "moved", "cut off"];
    let hues = [HUES[2], HUES[3], HUES[1], HUES[0], HUES[4]];
    let line = |kind: usize| Line {
        name: names[kind].into(),
        hue: hues[kind],
        points: counts
            .iter()
            .enumerate()
            .map(|(step, row)| {
                (
                    step as f64 * STEP.as_secs_f64(),
                    f64::from(row[kind]) / STEP.as_secs_f64(),
                )
            })
            .collect(),
        faint: false,
    };
    (0..names.len()).map(line).collect()
}

fn cost_lines(entries: &[RecordedEvent]) -> (Vec<Line>, Vec<Line>) {
    let mut last: BTreeMap<RelayIndex, (f64, f64)> = BTreeMap::new();
    let (mut cpu_of, mut memory_of): (BTreeMap<RelayIndex, Vec<_>>, BTreeMap<RelayIndex, Vec<_>>) =
        Default::default();
    for entry in entries {
        let Observation::RelayCost {
            relay,
            cpu_time: cpu,
            resident_bytes: resident,
        } = entry.observation
        else {
            continue;
        };
        let (at, cpu) = (seconds(entry.at), cpu.as_secs_f64());
        if let Some((before, used)) = last.insert(relay, (at, cpu))
            && cpu >= used
            && at > before
        {
            cpu_of
                .entry(relay)
                .or_default()
                .push((at, (cpu - used) / (at - before) * 100.0));
        }
        memory_of
            .entry(relay)
            .or_default()
            .push((at, resident as f64 / f64::from(1 << 20)));
    }
    let lines = |of: BTreeMap<RelayIndex, Vec<(f64, f64)>>| {
        of.into_iter()
            .map(|(relay, points)| Line {
                name: format!("relay {}", relay.0),
                hue: HUES[usize::from(relay.0) % HUES.len()],
                points,
                faint: false,
            })
            .collect()
    };
    (lines(cpu_of), lines(memory_of))
}

/// The page of a run.
///
/// # Errors
/// One line, where a plot can't be drawn.
pub(crate) fn page(
    summary: &Summary,
    entries: &[RecordedEvent],
    marks: &[FaultMark],
    crowds: &[LoadTotals],
) -> Result<String, String> {
    let begun = plan_begin(entries)
        .duration_since(Instant::default())
        .as_secs_f64();
    let until = entries.last().map_or(Instant::default(), |last| last.at);
    let end = seconds(until).max(1.0);
    let marks: Vec<(String, f64, f64)> = marks
        .iter()
        .map(|mark| {
            let to = mark.to.map_or(end, |to| (begun + seconds(to)).min(end));
            (mark.name.clone(), begun + seconds(mark.from), to)
        })
        .collect();
    let mut crowd = crowds.first().ok_or("no clients")?.clone();
    crowds[1..].iter().for_each(|other| crowd.add(other));
    let frame = |title, unit| Frame {
        title,
        unit,
        until: end,
        marks: &marks,
    };
    let (cpu, memory) = cost_lines(entries);
    let mut plots = vec![
        chart(
            &frame("Answers over time", "a second"),
            &answer_lines(entries, until),
        )?,
        chart(
            &frame("Load of each box over its capacity", "load"),
            &box_lines(entries),
        )?,
        distribution(&crowd)?,
    ];
    if !cpu.is_empty() {
        plots.push(chart(&frame("CPU of each relay", "% of a core"), &cpu)?);
        plots.push(chart(
            &frame("Resident memory of each relay", "MB"),
            &memory,
        )?);
    }
    let escaped = |text: &str| {
        text.replace('&', "&amp;")
            .replace('<', "&lt;")
            .replace('>', "&gt;")
    };
    let hue = if summary.kept() { "#2c7a2c" } else { "#b22222" };
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>body{{font:15px/1.45 sans-serif;max-width:980px;margin:2em auto;color:#222}}\
         pre{{background:#f6f6f6;padding:1em;overflow-x:auto;font-size:13px}}h1{{font-size:22px}}\
         .line{{font-size:18px;color:{hue}}}svg{{max-width:100%;height:auto}}</style>\
         <h1>{name}: {way}, seed {seed}</h1><p class=\"line\">{line}</p><pre>{page}</pre>{plots}</html>\n",
        name = escaped(&summary.scenario),
        way = escaped(&summary.way),
        seed = summary.seed,
        line = escaped(&summary.line()),
        page = escaped(&summary.page()),
        plots = plots.join("\n"),
    ))
}
