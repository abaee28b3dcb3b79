//! Output as text or JSON.

use std::io::Write as _;

use serde_json::Value;

use crate::{args::Output, failure::Failure};

/// Prints a value: as JSON, or as the text that `text` makes of it.
///
/// # Errors
/// When standard output cannot be written.
pub fn print(
    output: Output,
    value: &Value,
    text: impl FnOnce(&Value) -> String,
) -> Result<(), Failure> {
    let text = match output {
        Output::Json => serde_json::to_string_pretty(value)?,
        Output::Text => text(value),
    };
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "{}", text.trim_end())?;
    Ok(())
}

/// Lays rows of objects out as a table with the given columns.
#[must_use]
pub fn table(rows: &[Value], columns: &[&str]) -> String {
    let cell = |row: &Value, column: &str| match &row[column] {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let width = |column: &str| {
        let longest = rows.iter().map(|row| cell(row, column).chars().count()).max();
        longest.unwrap_or(0).max(column.len())
    };
    let widths: Vec<usize> = columns.iter().map(|column| width(column)).collect();
    let line = |cells: Vec<String>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    let header = line(columns.iter().map(|column| (*column).to_uppercase()).collect());
    let body = rows.iter().map(|row| line(columns.iter().map(|c| cell(row, c)).collect()));
    header + &body.collect::<String>()
}
