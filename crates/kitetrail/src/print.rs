//! Answers as text for people.

use serde_json::Value;

use crate::args::Output;

/// One column of a table: its title, and the path to its value in each row.
pub type Column = (&'static str, &'static str);

/// An answer in the form asked for. In text, rows become lines under the given columns.
pub fn table(output: Output, value: &Value, columns: &[Column]) -> String {
    if output == Output::Json {
        return json(value);
    }
    let rows: Vec<&Value> = match value {
        Value::Array(rows) => rows.iter().collect(),
        one => vec![one],
    };
    let cells: Vec<Vec<String>> =
        rows.iter().map(|row| columns.iter().map(|(_, path)| cell(row, path)).collect()).collect();
    let titles: Vec<String> = columns.iter().map(|(title, _)| (*title).to_owned()).collect();
    let lines = std::iter::once(&titles).chain(&cells);
    let width = |at: usize| lines.clone().map(|line| line[at].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    lines.clone().map(|line| format_line(line, &widths)).collect()
}

/// An answer as indented JSON.
pub fn json(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    format!("{text}\n")
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", padded.join("  ").trim_end())
}

fn cell(row: &Value, path: &str) -> String {
    let mut value = row;
    for part in path.split('.').filter(|part| !part.is_empty()) {
        value = &value[part];
    }
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(|item| cell(item, "")).collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}
