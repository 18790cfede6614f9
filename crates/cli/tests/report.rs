//! Guards against a report that omits measures, does not escape names, or loads external resources.

use bronzespoke_bench::measure;
use bronzespoke_cli::report::{self, measures};
use yare::parameterized;

const ROWS: &str = r#"[
  {"name": "control.apply.us", "value": 1.5, "unit": "us", "bound": {"at_most": 2.0}, "source": "brief"},
  {"name": "control.escrow.over", "value": 3, "unit": "count", "bound": {"at_most": 0}, "source": "I4"},
  {"name": "request.goodput.x10", "value": 0.97, "unit": "share", "bound": {"at_least": 0.95}, "source": "brief"},
  {"name": "schedule.<b>&\"x\"", "value": 7, "unit": "tasks", "bound": "none", "source": "issue"},
  {"name": "schedule.wait.p99", "value": null, "unit": "s", "bound": {"at_most": 1.6}, "source": "target"}
]"#;

fn assert_self_contained(html: &str) {
    let html = html.replace("http://www.w3.org/2000/svg", "");
    for outside in ["http:", "https:", "<link", "<script", "src="] {
        assert!(!html.contains(outside), "{outside}");
    }
}

#[test]
fn page_has_every_row_in_its_part() {
    let html = report::html(ROWS.as_bytes()).expect("the rows are right");
    for part in ["control", "request", "schedule"] {
        assert_eq!(html.matches(&format!("<h2>{part}</h2>")).count(), 1);
    }
    let names = [
        "control.apply.us",
        "control.escrow.over",
        "request.goodput.x10",
        "schedule.wait.p99",
    ];
    for name in names {
        assert_eq!(html.matches(&format!("<td>{name}<td")).count(), 1, "{name}");
    }
    assert!(html.contains("<td>schedule.&lt;b&gt;&amp;&quot;x&quot;<td"));
    assert!(!html.contains("schedule.<b>"));
    assert_eq!(
        html.matches("<svg").count(),
        2,
        "parts with bounded values have a chart"
    );
    assert_eq!(html.matches("BROKEN").count(), 2);
    assert!(html.contains("5 measures, 2 broken bounds."));
    assert_self_contained(&html);
}

#[parameterized(
    half = { 1.0, measures::Bound::AtMost(2.0), Some(0.5) },
    at = { 2.0, measures::Bound::AtMost(2.0), Some(1.0) },
    far_over = { 1e9, measures::Bound::AtMost(2.0), Some(2.0) },
    nothing_of_nothing = { 0.0, measures::Bound::AtMost(0.0), Some(0.0) },
    something_of_nothing = { 0.1, measures::Bound::AtMost(0.0), Some(2.0) },
    above = { 2.0, measures::Bound::AtLeast(1.0), Some(0.5) },
    nothing = { 0.0, measures::Bound::AtLeast(1.0), Some(2.0) },
    unbounded = { 1.0, measures::Bound::None, None },
)]
fn ratio_is_at_most_one_when_the_bound_holds(value: f64, bound: measures::Bound, ratio: Option<f64>) {
    let measure = measures::Measure {
        name: String::from("a.b"),
        value: Some(value),
        unit: String::from("s"),
        bound,
        source: String::from("brief"),
    };
    assert_eq!(measure.ratio(), ratio);
    if let Some(ratio) = ratio {
        assert_eq!(ratio <= 1.0, measure.verdict() == measures::Verdict::Holds);
    }
}

#[test]
fn timeline_page_has_every_event_and_every_process() {
    let json = r#"{"events": [
        {"stamp": {"micros": 1800000000000000, "logical": 0}, "process": "vm-a", "sequence": 1,
         "kind": {"event": "started"}},
        {"stamp": {"micros": 1800000001000000, "logical": 0}, "process": "vm-<b>", "sequence": 4,
         "kind": {"event": "worker_lost", "worker": 12}}],
        "lost": [{"process": "vm-<b>", "count": 3}], "unreachable": []}"#;
    let html = report::html(json.as_bytes()).expect("the timeline is right");
    assert!(html.contains("2 events."));
    assert!(html.contains("the ring of vm-&lt;b&gt; has lost 3 events"));
    assert!(html.contains("<td>2027-01-15T08:00:01.000000Z<td>vm-&lt;b&gt;<td>worker_lost<td>worker=12"));
    assert!(!html.contains("vm-<b>"));
    assert_eq!(html.matches("<circle").count(), 2);
    assert_self_contained(&html);
}

#[parameterized(
    text = { "not json", "it is not JSON" },
    number = { "7", "an array of measures or the JSON of a timeline" },
    row = { r#"[{"name": "a"}]"#, "row 1 is not a measure: missing field" },
    bound = { r#"[{"name":"a","value":1,"unit":"s","bound":"some","source":"x"}]"#, "row 1 is not a measure" },
    timeline = { r#"{"events": [1]}"#, "it is not a timeline" },
)]
fn wrong_input_is_explained(json: &str, expected: &str) {
    let error = report::html(json.as_bytes()).expect_err("the input is wrong");
    assert!(error.starts_with(expected), "{error}");
}

#[parameterized(
    none = { "[]", "0 measures" },
    no_events = { r#"{"events": [], "lost": [], "unreachable": []}"#, "0 events" },
)]
fn empty_input_gives_a_page(json: &str, expected: &str) {
    assert!(
        report::html(json.as_bytes())
            .expect("empty is right")
            .contains(expected)
    );
}

/// Guards against an axis of length zero in a chart of one row.
#[parameterized(
    measure = { r#"[{"name":"a.b","value":1,"unit":"s","bound":{"at_most":2},"source":"x"}]"#, ">\na.b\n<" },
    event = { r#"{"events": [{"stamp": {"micros": 1, "logical": 0}, "process": "vm-a", "sequence": 1,
        "kind": {"event": "started"}}], "lost": [], "unreachable": []}"#, ">\nvm-a\n<" },
)]
fn chart_of_one_row_is_drawn(json: &str, label: &str) {
    let html = report::html(json.as_bytes()).expect("the input is right");
    assert!(html.contains(label), "{html}");
    assert!(
        !html.contains("height=\"-") && !html.contains("width=\"-"),
        "a negative size: {html}"
    );
}

/// Guards against an axis that omits labels if there are many rows.
#[test]
fn every_bar_has_a_label() {
    let names = (0..150)
        .map(|number| format!("part.measure.{number}"))
        .collect::<Vec<_>>();
    let row = |name: &String| {
        let bound = serde_json::json!({"at_most": 2.0});
        serde_json::json!({"name": name, "value": 1, "unit": "s", "bound": bound, "source": "x"})
    };
    let json = serde_json::Value::Array(names.iter().map(row).collect()).to_string();
    let html = report::html(json.as_bytes()).expect("the rows are right");
    for name in names {
        assert!(html.contains(&format!(">\n{name}\n<")), "{name}");
    }
}

/// Guards against a JSON form of measures in `bronzespoke-bench` that the report cannot read.
#[parameterized(
    none = { measure::Bound::None, measures::Bound::None },
    at_most = { measure::Bound::AtMost(2.5), measures::Bound::AtMost(2.5) },
    at_least = { measure::Bound::AtLeast(2.5), measures::Bound::AtLeast(2.5) },
)]
fn rows_of_a_policy_run_are_read(printed: measure::Bound, bound: measures::Bound) {
    let rows = [measure::Row::new("part.measure", 1.25, "us", printed, "brief")];
    let json = serde_json::to_value(rows).expect("plain data");
    let read = measures::read(json.as_array().expect("rows").clone()).expect("the rows are right");
    assert_eq!((read[0].value, read[0].bound), (Some(1.25), bound));
    assert_eq!(
        (
            read[0].name.as_str(),
            read[0].unit.as_str(),
            read[0].source.as_str()
        ),
        ("part.measure", "us", "brief")
    );
}
