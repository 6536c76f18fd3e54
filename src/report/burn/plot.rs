//! The report as a picture: one row for each objective, with the rate that its budget went at.

use plotters::prelude::*;

use super::sum::{Line, Report, counted};

/// The width of the picture and the height of a row, in pixels.
const WIDTH: u32 = 1_000;
const ROW: u32 = 170;
/// The stretches of time that a picture may show: hours, and the minutes of one bar. The shortest one that holds
/// all that was counted is taken, and the longest one otherwise.
const STRETCHES: [Stretch; 3] =
    [Stretch { hours: 1, bar: 1 }, Stretch { hours: 6, bar: 5 }, Stretch { hours: 24, bar: 15 }];
/// The least top of a row, as a burn rate.
const LEAST_TOP: f64 = 2.0;

#[derive(Debug, Clone, Copy)]
struct Stretch {
    hours: u64,
    bar: u64,
}

impl Stretch {
    fn of(report: &Report) -> Self {
        let oldest = report
            .buckets
            .keys()
            .next()
            .map_or(0, |start| report.now.0 - start.0.min(report.now.0));
        let holds = STRETCHES.iter().find(|stretch| oldest < stretch.hours * 60);
        *holds.unwrap_or(&STRETCHES[STRETCHES.len() - 1])
    }
}

/// Why a picture could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the picture can't be drawn: {0}")]
pub struct Error(String);

/// Draws the report as an SVG that needs nothing else.
///
/// # Errors
///
/// Fails when the plotting library does.
pub fn svg(report: &Report) -> Result<String, Error> {
    let mut out = String::new();
    draw(report, &mut out).map_err(|error| Error(error.to_string()))?;
    Ok(out)
}

/// Writes the report as one HTML page with the picture and the text in it.
///
/// # Errors
///
/// Fails when the plotting library does.
pub fn html(report: &Report) -> Result<String, Error> {
    let picture = svg(report)?;
    let text = super::text(report).replace('&', "&amp;").replace('<', "&lt;");
    Ok(format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n\
         <title>Service-level burn</title>\n<h1>Service-level burn</h1>\n{picture}\n<pre>{text}</pre>\n</html>\n"
    ))
}

fn draw(report: &Report, out: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let rows = report.lines.len().max(1);
    let root = SVGBackend::with_string(out, (WIDTH, ROW * rows as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (line, area) in report.lines.iter().zip(root.split_evenly((rows, 1))) {
        row(report, line, &area)?;
    }
    root.present()?;
    Ok(())
}

fn row(
    report: &Report,
    line: &Line,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<(), Box<dyn std::error::Error>> {
    let stretch = Stretch::of(report);
    let bars = bars(report, line, stretch);
    let top = bars.iter().map(|(_, rate)| *rate).fold(LEAST_TOP, f64::max) * 1.1;
    let caption = format!(
        "{} {}: target {}, {:.1}% of the 30-day budget spent",
        line.class,
        line.goal,
        line.target,
        100.0 * line.spent
    );
    let hours = stretch.hours as f64;
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
    let width = stretch.bar as f64 / 60.0;
    let colour = |rate: f64| if rate > 1.0 { RED.mix(0.8) } else { BLUE.mix(0.6) };
    chart.draw_series(bars.iter().map(|(at, rate)| {
        Rectangle::new([(*at, 0.0), (at + width, *rate)], colour(*rate).filled())
    }))?;
    chart.draw_series(LineSeries::new([(-hours, 1.0), (0.0, 1.0)], BLACK.stroke_width(1)))?;
    Ok(())
}

/// Returns the burn rate of each bar, with its begin in hours from now.
fn bars(report: &Report, line: &Line, stretch: Stretch) -> Vec<(f64, f64)> {
    let allowed = (1.0 - line.target.fraction()).max(f64::EPSILON);
    let end = report.now.0 + 1;
    let begin = end.saturating_sub(stretch.hours * 60);
    let mut sums = vec![(0_u64, 0_u64); (stretch.hours * 60 / stretch.bar) as usize];
    for (start, bucket) in &report.buckets {
        let Some(counts) = bucket.classes.get(&line.class) else {
            continue;
        };
        if start.0 < begin || start.0 >= end {
            continue;
        }
        let (total, missed) = counted(counts, line.goal);
        let sum = &mut sums[((start.0 - begin) / stretch.bar) as usize];
        *sum = (sum.0 + total, sum.1 + missed);
    }
    let bar = |(at, (total, missed)): (usize, (u64, u64))| {
        let rate = if total == 0 { 0.0 } else { missed as f64 / total as f64 / allowed };
        let at = at as f64 * stretch.bar as f64 / 60.0 - stretch.hours as f64;
        (at, rate)
    };
    sums.into_iter().enumerate().map(bar).collect()
}
