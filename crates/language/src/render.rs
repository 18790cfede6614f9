//! Rendering of answers as text for a terminal. Programs read the JSON of the same [`answer::Answer`].

use comfy_table::{CellAlignment, presets};

use crate::{answer, unit};

/// Text of an absent value.
const ABSENT: &str = "-";

/// Renders an answer as text that ends with a newline.
pub fn answer(answer: &answer::Answer) -> String {
    match answer {
        answer::Answer::Table(table) => render_table(table),
        answer::Answer::Text(text) => format!("{}\n", printable_lines(&text.text)),
        answer::Answer::Error(error) => format!("{}: {}\n", error.code, printable(&error.message)),
    }
}

/// Renders a value in the unit of its column.
pub fn value(kind: answer::Kind, value: &answer::Value) -> String {
    match value {
        answer::Value::Absent => String::from(ABSENT),
        answer::Value::Flag(true) => String::from("yes"),
        answer::Value::Flag(false) => String::from("no"),
        answer::Value::Text(text) => printable(text),
        answer::Value::Fraction(fraction) => match kind {
            answer::Kind::Share => format!("{:.1}%", fraction * 100.0),
            _ => format!("{fraction:.3}"),
        },
        answer::Value::Number(value) => number(kind, *value),
    }
}

/// Replaces control characters, which could form escape sequences of a terminal.
pub fn printable(text: &str) -> String {
    let replace = |character: char| {
        if character.is_control() {
            '\u{fffd}'
        } else {
            character
        }
    };
    text.chars().map(replace).collect()
}

fn printable_lines(text: &str) -> String {
    text.lines().map(printable).collect::<Vec<_>>().join("\n")
}

fn number(kind: answer::Kind, value: u64) -> String {
    match kind {
        answer::Kind::CpuMilli => u32::try_from(value).map_or_else(|_| value.to_string(), unit::format_cpu),
        answer::Kind::MemoryMib => {
            u32::try_from(value).map_or_else(|_| value.to_string(), unit::format_memory)
        }
        answer::Kind::Bytes => unit::format_bytes(value),
        answer::Kind::DurationMs => unit::format_duration(value),
        answer::Kind::Share => format!("{:.1}%", value as f64 * 100.0),
        answer::Kind::Text | answer::Kind::Id | answer::Kind::Count | answer::Kind::Flag => value.to_string(),
    }
}

fn render_table(table: &answer::Table) -> String {
    let mut out = comfy_table::Table::new();
    out.load_preset(presets::NOTHING);
    out.set_header(table.columns.iter().map(|column| printable(&column.name)));
    for row in &table.rows {
        let cells = table.columns.iter().zip(row);
        out.add_row(cells.map(|(column, cell)| value(column.kind, cell)));
    }
    for (column, shown) in table.columns.iter().zip(out.column_iter_mut()) {
        shown.set_padding((0, 2));
        if is_right_aligned(column.kind) {
            shown.set_cell_alignment(CellAlignment::Right);
        }
    }
    let noun = if table.rows.len() == 1 { "row" } else { "rows" };
    let mut text = format!("{} ({} {noun})\n", printable(&table.title), table.rows.len());
    for line in out.lines() {
        text.push_str(line.trim_end());
        text.push('\n');
    }
    if table.omitted > 0 {
        let omitted = format!(
            "{} further rows are not shown; narrow the statement with `where`\n",
            table.omitted
        );
        text.push_str(&omitted);
    }
    text
}

const fn is_right_aligned(kind: answer::Kind) -> bool {
    match kind {
        answer::Kind::Text | answer::Kind::Flag => false,
        answer::Kind::Id
        | answer::Kind::Count
        | answer::Kind::CpuMilli
        | answer::Kind::MemoryMib
        | answer::Kind::Bytes
        | answer::Kind::DurationMs
        | answer::Kind::Share => true,
    }
}
