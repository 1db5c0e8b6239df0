//! Formats responses as text tables or JSON.

use serde_json::Value;

use crate::args::Output;

/// A column of a table: its title and the path of its value in each row.
pub type Column = (&'static str, &'static str);

/// Formats a response as a table with the given columns, or as JSON.
pub fn format_table(output: Output, value: &Value, columns: &[Column]) -> String {
    if output == Output::Json {
        return format_json(value);
    }
    let rows: Vec<&Value> = match value {
        Value::Array(rows) => rows.iter().collect(),
        row => vec![row],
    };
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| columns.iter().map(|(_, path)| format_cell(row, path)).collect())
        .collect();
    let titles: Vec<String> = columns.iter().map(|(title, _)| (*title).to_owned()).collect();
    let lines = std::iter::once(&titles).chain(&cells);
    let width = |column: usize| lines.clone().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    lines.clone().map(|line| format_line(line, &widths)).collect()
}

/// Formats a response as indented JSON.
pub fn format_json(value: &Value) -> String {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    format!("{text}\n")
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", padded.join("  ").trim_end())
}

fn format_cell(row: &Value, path: &str) -> String {
    let mut value = row;
    for part in path.split('.').filter(|part| !part.is_empty()) {
        value = &value[part];
    }
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(|item| format_cell(item, "")).collect();
            items.join(",")
        }
        other => other.to_string(),
    }
}
