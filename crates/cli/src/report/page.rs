//! Renders measures and timelines as HTML pages.

use std::fmt::Write;

use super::{chart, measures};
use crate::timeline::{filter, merge, render};

/// Maximum number of events in the table of a timeline.
pub const MAX_EVENT_ROWS: usize = 5000;

const STYLE: &str = "\
body{font:14px/1.4 sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse;margin:1em 0}\
th,td{padding:2px 10px;border-bottom:1px solid #ddd;text-align:left}\
td.number{text-align:right;font-variant-numeric:tabular-nums}\
tr.broken{background:#fde3e3}\
svg{max-width:100%;height:auto}";

/// Renders the measures of a policy run: for each part a chart and a table.
pub fn measures(all: &[measures::Measure]) -> Result<String, String> {
    let broken = all
        .iter()
        .filter(|measure| measure.verdict() == measures::Verdict::Broken)
        .count();
    let mut body = format!("<p>{} measures, {broken} broken bounds.</p>\n", all.len());
    for (part, group) in measures::by_part(all) {
        push(
            &mut body,
            format_args!("<h2>{}</h2>\n{}\n", escape(part), chart::bounds(&group)?),
        );
        body.push_str("<table>\n<tr><th>measure<th>value<th>unit<th>bound<th>source<th>verdict</tr>\n");
        for measure in group {
            measure_row(&mut body, measure);
        }
        body.push_str("</table>\n");
    }
    Ok(document("Policy measures", &body))
}

fn measure_row(body: &mut String, measure: &measures::Measure) {
    let (class, verdict) = match measure.verdict() {
        measures::Verdict::Unbounded => ("", "-"),
        measures::Verdict::Holds => ("", "ok"),
        measures::Verdict::Broken => (" class=\"broken\"", "BROKEN"),
    };
    let bound = match measure.bound {
        measures::Bound::None => String::from("-"),
        measures::Bound::AtMost(limit) => format!("&le; {limit}"),
        measures::Bound::AtLeast(limit) => format!("&ge; {limit}"),
    };
    let value = measure
        .value
        .map_or_else(|| String::from("not a number"), |value| format!("{value:.4}"));
    let (name, unit, source) = (
        escape(&measure.name),
        escape(&measure.unit),
        escape(&measure.source),
    );
    push(
        body,
        format_args!(
            "<tr{class}><td>{name}<td class=\"number\">{value}<td>{unit}<td class=\"number\">{bound}\
             <td>{source}<td>{verdict}</tr>\n"
        ),
    );
}

/// Renders a timeline as a chart and a table, preceded by notices of lost events and unreachable processes.
pub fn timeline(history: &merge::History) -> Result<String, String> {
    let mut body = format!("<p>{} events.</p>\n", history.events.len());
    let lost = history.lost.iter().map(merge::Loss::message);
    for message in lost.chain(history.unreachable.iter().map(merge::Unreachable::message)) {
        push(
            &mut body,
            format_args!("<p><strong>{}</strong></p>\n", escape(&message)),
        );
    }
    if history.events.len() > chart::MAX_POINTS {
        push(
            &mut body,
            format_args!("<p>The chart shows the first {} events.</p>\n", chart::MAX_POINTS),
        );
    }
    body.push_str(&chart::lanes(&history.events)?);
    body.push_str("\n<table>\n<tr><th>time<th>process<th>event<th>details</tr>\n");
    for event in history.events.iter().take(MAX_EVENT_ROWS) {
        let (name, details) = render::describe(event);
        let time = filter::write_time(event.stamp.micros);
        let (process, name, details) = (escape(&event.process), escape(&name), escape(&details));
        push(
            &mut body,
            format_args!("<tr><td>{time}<td>{process}<td>{name}<td>{details}</tr>\n"),
        );
    }
    body.push_str("</table>\n");
    if history.events.len() > MAX_EVENT_ROWS {
        let omitted = history.events.len() - MAX_EVENT_ROWS;
        push(
            &mut body,
            format_args!("<p>{omitted} further events are not in the table.</p>\n"),
        );
    }
    Ok(document("Timeline", &body))
}

fn document(title: &str, body: &str) -> String {
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>bronzespoke: {title}</title>\n\
         <style>{STYLE}</style>\n</head>\n<body>\n<h1>{title}</h1>\n{body}</body>\n</html>\n"
    )
}

fn push(body: &mut String, text: std::fmt::Arguments<'_>) {
    body.write_fmt(text).expect("writing to a string succeeds");
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '&' => escaped.push_str("&amp;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}
