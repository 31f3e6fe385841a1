//! Draws charts as SVG.
use super::ReportError;
use plotters::coord::ranged1d::Ranged;
use plotters::prelude::*;

/// Width and height of a chart in pixels.
const SIZE: (u32, u32) = (960, 300);
const FONT: &str = "sans-serif";
const TITLE_SIZE: i32 = 17;
const LABEL_SIZE: i32 = 12;
const MARK_SIZE: i32 = 11;
const MARGIN: i32 = 8;
const X_LABEL_AREA: i32 = 34;
const Y_LABEL_AREA: i32 = 58;
/// Length of a line in the legend, in pixels.
const LEGEND_LINE: i32 = 16;

pub(super) const BLUE: RGBColor = RGBColor(31, 119, 180);
pub(super) const RED: RGBColor = RGBColor(214, 39, 40);
pub(super) const GREEN: RGBColor = RGBColor(44, 160, 44);
pub(super) const ORANGE: RGBColor = RGBColor(255, 127, 14);
pub(super) const PURPLE: RGBColor = RGBColor(148, 103, 189);
const GREY: RGBColor = RGBColor(90, 90, 90);
const COLORS: [RGBColor; 6] = [BLUE, RED, GREEN, ORANGE, PURPLE, GREY];

/// Returns the color for an index; colors repeat.
pub(super) fn color(index: usize) -> RGBColor {
    COLORS[index % COLORS.len()]
}

/// How a series is drawn.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stroke {
    Thick,
    Thin,
    /// Thin and without an entry in the legend, for one of many series.
    Faint,
}

/// A named series of points, with its style.
pub(super) struct Series {
    pub(super) name: String,
    pub(super) color: RGBColor,
    pub(super) points: Vec<(f64, f64)>,
    pub(super) stroke: Stroke,
}

/// A fault that is shaded in a chart, with its times in seconds.
pub(super) struct ShadedFault {
    pub(super) name: String,
    pub(super) from: f64,
    pub(super) to: f64,
}

/// The parts of a chart over time besides its series.
pub(super) struct Frame<'a> {
    pub(super) title: &'a str,
    pub(super) unit: &'a str,
    /// The end of the time axis in seconds.
    pub(super) end: f64,
    pub(super) faults: &'a [ShadedFault],
}

type Chart<'a, X, Y> = ChartContext<'a, SVGBackend<'a>, Cartesian2d<X, Y>>;

/// Returns the greatest value of all series, but at least `min`.
fn max_y(series: &[Series], min: f64) -> f64 {
    let points = series.iter().flat_map(|series| &series.points);
    points.map(|&(_, y)| y).fold(min, f64::max)
}

/// Draws a chart over time, on linear scales.
pub(super) fn over_time(frame: &Frame, series: &[Series]) -> Result<String, ReportError> {
    let mut svg = String::new();
    let top = max_y(series, 0.0).max(1e-3) * 1.1;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(frame.title, (FONT, TITLE_SIZE))
            .margin(MARGIN)
            .x_label_area_size(X_LABEL_AREA)
            .y_label_area_size(Y_LABEL_AREA)
            .build_cartesian_2d(0.0..frame.end, 0.0..top)?;
        draw_faults(&mut chart, frame.faults, top)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc("seconds")
            .y_desc(frame.unit)
            .label_style((FONT, LABEL_SIZE))
            .draw()?;
        for one in series {
            draw_series(&mut chart, one)?;
        }
        draw_legend(&mut chart, SeriesLabelPosition::UpperRight)?;
        area.present()?;
    }
    Ok(svg)
}

/// Draws a chart of quantiles on logarithmic scales. A point (n, y) means that one in n values
/// exceeds y.
pub(super) fn quantiles(title: &str, series: &[Series]) -> Result<String, ReportError> {
    let mut svg = String::new();
    let top = max_y(series, 1.0) * 1.5;
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, (FONT, TITLE_SIZE))
            .margin(MARGIN)
            .x_label_area_size(X_LABEL_AREA)
            .y_label_area_size(Y_LABEL_AREA)
            .build_cartesian_2d((1.0..1_000.0).log_scale(), (0.01..top).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("one in n is slower")
            .y_desc("ms")
            .label_style((FONT, LABEL_SIZE))
            .draw()?;
        for one in series {
            draw_series(&mut chart, one)?;
        }
        draw_legend(&mut chart, SeriesLabelPosition::UpperLeft)?;
        area.present()?;
    }
    Ok(svg)
}

fn draw_faults<X, Y>(
    chart: &mut Chart<X, Y>,
    faults: &[ShadedFault],
    top: f64,
) -> Result<(), ReportError>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    for (number, fault) in faults.iter().enumerate() {
        let shade = RED.mix(0.08);
        let corners = [(fault.from, 0.0), (fault.to, top)];
        chart.draw_series([Rectangle::new(corners, shade.filled())])?;
        // Names are drawn in three rows, so that those of faults close together don't overlap.
        let height = top * (0.97 - 0.08 * (number % 3) as f64);
        let style = (FONT, MARK_SIZE).into_font().color(&RED);
        chart.draw_series([Text::new(fault.name.clone(), (fault.from, height), style)])?;
    }
    Ok(())
}

fn draw_series<X, Y>(chart: &mut Chart<X, Y>, series: &Series) -> Result<(), ReportError>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    let color = series.color;
    let style = match series.stroke {
        Stroke::Thick => color.stroke_width(2),
        Stroke::Thin => color.stroke_width(1),
        Stroke::Faint => color.mix(0.35).stroke_width(1),
    };
    let drawn = chart.draw_series(LineSeries::new(series.points.iter().copied(), style))?;
    if series.stroke != Stroke::Faint {
        drawn
            .label(series.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE, y)], style));
    }
    Ok(())
}

fn draw_legend<X, Y>(
    chart: &mut Chart<X, Y>,
    position: SeriesLabelPosition,
) -> Result<(), ReportError>
where
    X: Ranged<ValueType = f64>,
    Y: Ranged<ValueType = f64>,
{
    chart
        .configure_series_labels()
        .position(position)
        .background_style(WHITE.mix(0.8))
        .label_font((FONT, LABEL_SIZE))
        .draw()?;
    Ok(())
}
