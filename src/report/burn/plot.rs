//! Renders the report as a chart with one row per objective, showing its burn rate over time.

use plotters::prelude::*;

use super::report::{Line, Report, count_missed};

const WIDTH_PX: u32 = 1_000;
const ROW_HEIGHT_PX: u32 = 170;
/// The time ranges that a chart can show. The shortest one that covers all buckets is used, or else the longest.
const RANGES: [Range; 3] = [
    Range { hours: 1, bar_minutes: 1 },
    Range { hours: 6, bar_minutes: 5 },
    Range { hours: 24, bar_minutes: 15 },
];
/// The minimum burn rate at the top of the y axis.
const MIN_AXIS_TOP: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Range {
    hours: u64,
    bar_minutes: u64,
}

impl Range {
    /// Returns the shortest range that covers all buckets of the report, or else the longest.
    fn covering(report: &Report) -> Self {
        let oldest_minutes = report
            .buckets
            .keys()
            .next()
            .map_or(0, |start| report.now.0 - start.0.min(report.now.0));
        let covering = RANGES.iter().find(|range| oldest_minutes < range.hours * 60);
        *covering.unwrap_or(&RANGES[RANGES.len() - 1])
    }
}

/// An error of the plotting library.
#[derive(Debug, thiserror::Error)]
#[error("failed to draw the burn rate chart: {0}")]
pub struct Error(String);

/// Renders the report as a self-contained SVG.
///
/// # Errors
///
/// Fails if the plotting library does.
pub fn svg(report: &Report) -> Result<String, Error> {
    let mut out = String::new();
    draw(report, &mut out).map_err(|error| Error(error.to_string()))?;
    Ok(out)
}

/// Renders the report as a self-contained HTML page with the chart and the text.
///
/// # Errors
///
/// Fails if the plotting library does.
pub fn html(report: &Report) -> Result<String, Error> {
    let chart = svg(report)?;
    let text = super::text(report).replace('&', "&amp;").replace('<', "&lt;");
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n\
         <title>Service-level burn</title>\n<h1>Service-level burn</h1>\n{chart}\n<pre>{text}</pre>\n</html>\n"
    ))
}

fn draw(report: &Report, out: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let rows = report.lines.len().max(1);
    let root =
        SVGBackend::with_string(out, (WIDTH_PX, ROW_HEIGHT_PX * rows as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (line, area) in report.lines.iter().zip(root.split_evenly((rows, 1))) {
        draw_row(report, line, &area)?;
    }
    root.present()?;
    Ok(())
}

fn draw_row(
    report: &Report,
    line: &Line,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<(), Box<dyn std::error::Error>> {
    let range = Range::covering(report);
    let bars = bars(report, line, range);
    let top = bars.iter().map(|(_, rate)| *rate).fold(MIN_AXIS_TOP, f64::max) * 1.1;
    let caption = format!(
        "{} {}: target {}, {:.1}% of the 30-day budget spent",
        line.class,
        line.goal,
        line.target,
        100.0 * line.spent
    );
    let hours = range.hours as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .caption(caption, ("sans-serif", 16))
        .x_label_area_size(32)
        .y_label_area_size(64)
        .build_cartesian_2d(-hours..0.0, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .x_labels(9)
        .y_labels(4)
        .x_desc("hours from now")
        .y_desc("burn rate")
        .label_style(("sans-serif", 12))
        .draw()?;
    let width_hours = range.bar_minutes as f64 / 60.0;
    let colour = |rate: f64| if rate > 1.0 { RED.mix(0.8) } else { BLUE.mix(0.6) };
    chart.draw_series(bars.iter().map(|(at, rate)| {
        Rectangle::new([(*at, 0.0), (at + width_hours, *rate)], colour(*rate).filled())
    }))?;
    chart.draw_series(LineSeries::new([(-hours, 1.0), (0.0, 1.0)], BLACK.stroke_width(1)))?;
    Ok(())
}

/// Returns the start of each bar, in hours relative to now, and its burn rate.
fn bars(report: &Report, line: &Line, range: Range) -> Vec<(f64, f64)> {
    let allowed = (1.0 - line.target.fraction()).max(f64::EPSILON);
    let end_minute = report.now.0 + 1;
    let start_minute = end_minute.saturating_sub(range.hours * 60);
    let mut sums = vec![(0_u64, 0_u64); (range.hours * 60 / range.bar_minutes) as usize];
    for (minute, bucket) in &report.buckets {
        let Some(counts) = bucket.classes.get(&line.class) else {
            continue;
        };
        if minute.0 < start_minute || minute.0 >= end_minute {
            continue;
        }
        let (total, missed) = count_missed(counts, line.goal);
        let sum = &mut sums[((minute.0 - start_minute) / range.bar_minutes) as usize];
        *sum = (sum.0 + total, sum.1 + missed);
    }
    let bar = |(at, (total, missed)): (usize, (u64, u64))| {
        let rate = if total == 0 { 0.0 } else { missed as f64 / total as f64 / allowed };
        let at = at as f64 * range.bar_minutes as f64 / 60.0 - range.hours as f64;
        (at, rate)
    };
    sums.into_iter().enumerate().map(bar).collect()
}
