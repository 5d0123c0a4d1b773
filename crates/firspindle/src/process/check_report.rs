//! Output of the check of a manifest, as text and as JSON.

use std::fmt;

use firspindle_core::version::{CheckFinding, FindingSeverity, ManifestChange};
use firspindle_edge::DecodeError;
use firspindle_platform::{ManifestText, TextPosition};
use serde::Serialize;

/// Why nodes refuse a manifest, and where.
#[derive(Debug, Serialize)]
pub(super) struct RefusalRow {
    line: Option<usize>,
    column: Option<usize>,
    field: Box<str>,
    reason: Box<str>,
}

impl RefusalRow {
    /// Describes an error of the decoder with its position in the text.
    pub(super) fn new(text: &[u8], error: &DecodeError) -> Self {
        let position = ManifestText::new(text).position_of_error(error);
        let (line, column) = split_position(position);
        // The position of a syntax error is part of its text too.
        let reason = position.map_or(&*error.reason, |position| {
            let end = format!(" at line {} column {}", position.line, position.column);
            error.reason.strip_suffix(&*end).unwrap_or(&error.reason)
        });
        Self { line, column, field: error.field.clone(), reason: reason.into() }
    }
}

impl fmt::Display for RefusalRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, "line {line}, column {column}: ")?;
        }
        write!(f, "{}: {}", self.field, self.reason)
    }
}

#[derive(Debug, Serialize)]
struct FindingRow {
    code: &'static str,
    severity: &'static str,
    place: String,
    line: Option<usize>,
    column: Option<usize>,
    message: String,
}

#[derive(Debug, Serialize)]
struct FieldRow {
    field: &'static str,
    before: Box<str>,
    after: Box<str>,
}

#[derive(Debug, Serialize)]
struct ChangeRow {
    kind: &'static str,
    severity: &'static str,
    place: String,
    fields: Vec<FieldRow>,
    effect: Box<str>,
}

/// Result of the check of one file.
#[derive(Debug, Serialize)]
pub(super) struct CheckReport {
    file: Box<str>,
    verdict: &'static str,
    refusal: Option<RefusalRow>,
    findings: Vec<FindingRow>,
    /// Differences from the manifest in force; `None` if there was none to compare with.
    changes: Option<Vec<ChangeRow>>,
}

impl CheckReport {
    /// Creates the report on a manifest that nodes accept.
    pub(super) fn new(
        file: &str,
        text: &ManifestText,
        findings: &[CheckFinding],
        changes: Option<&[ManifestChange]>,
    ) -> Self {
        let warns = |severity| severity == FindingSeverity::Warning;
        let has_warnings = findings.iter().any(|row| warns(row.severity()))
            || changes.unwrap_or_default().iter().any(|row| warns(row.severity));
        Self {
            file: file.into(),
            verdict: if has_warnings { "warnings" } else { "sound" },
            refusal: None,
            findings: findings.iter().map(|row| finding_row(text, row)).collect(),
            changes: changes.map(|rows| rows.iter().map(change_row).collect()),
        }
    }

    /// Creates the report on a manifest that nodes refuse.
    pub(super) fn refused(file: &str, refusal: RefusalRow) -> Self {
        Self {
            file: file.into(),
            verdict: "refused",
            refusal: Some(refusal),
            findings: Vec::new(),
            changes: None,
        }
    }

    /// Whether anything needs a decision before the manifest is published.
    pub(super) fn has_warnings(&self) -> bool {
        self.verdict == "warnings"
    }

    /// Encodes the report.
    pub(super) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

fn split_position(position: Option<TextPosition>) -> (Option<usize>, Option<usize>) {
    (position.map(|position| position.line), position.map(|position| position.column))
}

fn finding_row(text: &ManifestText, finding: &CheckFinding) -> FindingRow {
    let (line, column) = split_position(text.position_of(&finding.place));
    FindingRow {
        code: finding.kind.code(),
        severity: finding.severity().name(),
        place: finding.place.to_string(),
        line,
        column,
        message: finding.kind.to_string(),
    }
}

fn change_row(change: &ManifestChange) -> ChangeRow {
    let fields = change.fields.iter().map(|row| FieldRow {
        field: row.field,
        before: row.before.clone(),
        after: row.after.clone(),
    });
    ChangeRow {
        kind: change.kind.name(),
        severity: change.severity.name(),
        place: change.place.to_string(),
        fields: fields.collect(),
        effect: change.effect.clone(),
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.findings {
            write!(f, "{}:", self.file)?;
            if let (Some(line), Some(column)) = (row.line, row.column) {
                write!(f, "{line}:{column}:")?;
            }
            writeln!(f, " {}: {}: {} [{}]", row.severity, row.place, row.message, row.code)?;
        }
        for row in self.changes.iter().flatten() {
            write!(f, "{}: {} {}", row.severity, row.kind, row.place)?;
            if !row.effect.is_empty() {
                write!(f, ": {}", row.effect)?;
            }
            writeln!(f)?;
            for FieldRow { field, before, after } in &row.fields {
                writeln!(f, "  {field}: {before} -> {after}")?;
            }
        }
        if self.changes.as_ref().is_some_and(Vec::is_empty) {
            writeln!(f, "no changes")?;
        }
        if self.has_warnings() { Ok(()) } else { writeln!(f, "ok") }
    }
}
