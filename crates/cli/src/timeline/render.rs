//! Renders the timeline as text.

use bronzespoke_language::render::printable;
use bronzespoke_model::event;
use comfy_table::presets;
use serde_json::Value;

use super::{filter, merge};

/// Renders one line for each event, followed by notices of lost events and unreachable processes.
pub fn text(history: &merge::History) -> String {
    let mut table = comfy_table::Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(["time", "process", "event", "details"]);
    for event in &history.events {
        let (name, details) = describe(event);
        let time = filter::write_time(event.stamp.micros);
        table.add_row([time, printable(&event.process), name, details]);
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    let mut lines = table
        .lines()
        .map(|line| String::from(line.trim_end()))
        .collect::<Vec<_>>();
    lines.extend(
        history
            .lost
            .iter()
            .map(merge::Loss::message)
            .map(|text| printable(&text)),
    );
    lines.extend(
        history
            .unreachable
            .iter()
            .map(merge::Unreachable::message)
            .map(|text| printable(&text)),
    );
    lines.push(String::new());
    lines.join("\n")
}

/// Returns the name of an event's kind and its fields as `name=value`, in alphabetical order.
pub(crate) fn describe(event: &event::Event) -> (String, String) {
    let kind = filter::fields(event);
    let name = kind["event"].as_str().unwrap_or_default();
    let fields = kind
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, _)| *name != "event");
    let details = fields.map(|(name, value)| format!("{name}={}", value_text(value)));
    (
        String::from(name),
        printable(&details.collect::<Vec<_>>().join(" ")),
    )
}

fn value_text(value: &Value) -> String {
    match (value, value.get("job"), value.get("index")) {
        (_, Some(job), Some(index)) => format!("{job}/{index}"),
        (Value::String(text), _, _) => text.clone(),
        (other, _, _) => other.to_string(),
    }
}
