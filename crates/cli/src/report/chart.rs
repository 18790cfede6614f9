//! Draws charts as SVG text.

use std::error::Error;

use bronzespoke_model::event;
use plotters::prelude::*;

use super::measures;
use crate::timeline::{filter, render};

const WIDTH: u32 = 1100;
const LABEL_WIDTH: u32 = 380;
const ROW_HEIGHT: u32 = 26;
/// Minimum number of rows of a chart; a segmented axis needs two.
const MIN_ROWS: i32 = 2;
const MARGIN_HEIGHT: u32 = 70;
const TEXT: (&str, u32) = ("sans-serif", 13);
/// Maximum number of points in the chart of a timeline; browsers draw this many without delay.
pub const MAX_POINTS: usize = 20_000;

const GOOD: RGBColor = RGBColor(46, 125, 80);
const BAD: RGBColor = RGBColor(190, 40, 40);
const PLAIN: RGBColor = RGBColor(60, 90, 150);
const LIMIT: RGBColor = RGBColor(40, 40, 40);

/// Draws for each measure with a bound a bar of the fraction of its bound that it uses. Returns an empty string if no
/// measure has a bound.
pub fn bounds(measures: &[&measures::Measure]) -> Result<String, String> {
    // The first row is drawn at the bottom, so the rows are in reverse order.
    let bounded = measures
        .iter()
        .rev()
        .filter_map(|measure| Some((*measure, measure.ratio()?)))
        .collect::<Vec<_>>();
    if bounded.is_empty() {
        return Ok(String::new());
    }
    let mut svg = String::new();
    draw_bounds(&bounded, &mut svg).map_err(|error| format!("the chart cannot be drawn: {error}"))?;
    Ok(svg)
}

fn draw_bounds(bounded: &[(&measures::Measure, f64)], svg: &mut String) -> Result<(), Box<dyn Error>> {
    let count = row_number(bounded.len());
    let rows = count.max(MIN_ROWS);
    let area = SVGBackend::with_string(svg, (WIDTH, MARGIN_HEIGHT + ROW_HEIGHT * rows as u32));
    let area = area.into_drawing_area();
    let name = |row: &i32| {
        let row = bounded.get(usize::try_from(*row).unwrap_or(usize::MAX));
        row.map(|(measure, _)| measure.name.clone()).unwrap_or_default()
    };
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(LABEL_WIDTH)
        .build_cartesian_2d(0.0..measures::MAX_RATIO, (0..rows - 1).into_segmented())?;
    let label = |value: &SegmentValue<i32>| match value {
        SegmentValue::CenterOf(row) | SegmentValue::Exact(row) => name(row),
        SegmentValue::Last => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc("part of the bound that is used (1 = at the bound, 2 = twice or more)")
        .y_labels(bounded.len() + 1)
        .y_label_formatter(&label)
        .label_style(TEXT)
        .draw()?;
    let bars = (0..count).zip(bounded).map(|(row, (measure, ratio))| {
        let color = match measure.verdict() {
            measures::Verdict::Broken => BAD,
            measures::Verdict::Holds | measures::Verdict::Unbounded => GOOD,
        };
        let corners = [(0.0, SegmentValue::Exact(row)), (*ratio, edge_after(row, rows))];
        let mut bar = Rectangle::new(corners, color.filled());
        bar.set_margin(4, 4, 0, 0);
        bar
    });
    chart.draw_series(bars)?;
    let limit = [(1.0, SegmentValue::Exact(0)), (1.0, SegmentValue::Last)];
    chart.draw_series(LineSeries::new(limit, LIMIT.stroke_width(2)))?;
    drop(chart);
    area.present()?;
    Ok(())
}

/// Draws one lane for each process, with a point for each of the first [`MAX_POINTS`] events. Returns an empty string
/// if there are no events.
pub fn lanes(events: &[event::Event]) -> Result<String, String> {
    let mut processes = events
        .iter()
        .map(|event| event.process.as_str())
        .collect::<Vec<_>>();
    // The first row is drawn at the bottom, so the rows are in reverse order.
    processes.sort_unstable_by(|left, right| right.cmp(left));
    processes.dedup();
    if processes.is_empty() {
        return Ok(String::new());
    }
    let mut svg = String::new();
    draw_lanes(events, &processes, &mut svg)
        .map_err(|error| format!("the chart cannot be drawn: {error}"))?;
    Ok(svg)
}

fn draw_lanes(events: &[event::Event], processes: &[&str], svg: &mut String) -> Result<(), Box<dyn Error>> {
    let first = events
        .iter()
        .map(|event| event.stamp.micros)
        .min()
        .unwrap_or_default();
    let last = events
        .iter()
        .map(|event| event.stamp.micros)
        .max()
        .unwrap_or_default();
    let seconds = |micros: u64| (micros - first) as f64 / 1e6;
    let length = seconds(last).max(0.001);
    let rows = row_number(processes.len()).max(MIN_ROWS);
    let area = SVGBackend::with_string(svg, (WIDTH, MARGIN_HEIGHT + ROW_HEIGHT * rows as u32));
    let area = area.into_drawing_area();
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(LABEL_WIDTH / 2)
        .build_cartesian_2d(0.0..length, (0..rows - 1).into_segmented())?;
    let label = |value: &SegmentValue<i32>| match value {
        SegmentValue::CenterOf(row) | SegmentValue::Exact(row) => {
            let process = processes.get(usize::try_from(*row).unwrap_or(usize::MAX));
            process.map(|name| String::from(*name)).unwrap_or_default()
        }
        SegmentValue::Last => String::new(),
    };
    let start = filter::write_time(first);
    chart
        .configure_mesh()
        .x_desc(format!("seconds after {start}"))
        .y_labels(processes.len() + 1)
        .y_label_formatter(&label)
        .label_style(TEXT)
        .draw()?;
    let points = events.iter().take(MAX_POINTS).map(|event| {
        let row = processes
            .binary_search_by(|process| event.process.as_str().cmp(process))
            .unwrap_or_default();
        let point = (
            seconds(event.stamp.micros),
            SegmentValue::CenterOf(row_number(row)),
        );
        Circle::new(point, 3, color(event).filled())
    });
    chart.draw_series(points)?;
    drop(chart);
    area.present()?;
    Ok(())
}

/// Returns the upper edge of a row.
fn edge_after(row: i32, rows: i32) -> SegmentValue<i32> {
    if row + 1 < rows {
        SegmentValue::Exact(row + 1)
    } else {
        SegmentValue::Last
    }
}

/// Converts an index to the row number of a chart. The limit on the input size keeps it far below 2^31.
fn row_number(index: usize) -> i32 {
    i32::try_from(index).unwrap_or(i32::MAX)
}

/// Returns the color of an event: red for losses and failures, green for normal progress, blue for all others.
fn color(event: &event::Event) -> RGBColor {
    let (name, _) = render::describe(event);
    match name.as_str() {
        "target_lost" | "worker_lost" | "leader_lost" | "view_stale" | "link_cut" | "task_preempted" => BAD,
        "job_accepted" | "job_ended" | "task_started" | "task_ended" | "view_fresh" => GOOD,
        _ => PLAIN,
    }
}
