//! Errors in settings files and manifests, with the line in the text.

use std::ops::Range;

use snafu::Snafu;

/// Why a settings file or manifest is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The text is not valid TOML or does not have the expected structure.
    #[snafu(display("line {line}: {reason}"))]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// What is wrong.
        reason: Box<str>,
    },
    /// A value is not allowed.
    #[snafu(display("line {line}: `{field}`: {reason}"))]
    Value {
        /// Line of the error, counted from 1.
        line: usize,
        /// Name of the field.
        field: Box<str>,
        /// What is wrong.
        reason: Box<str>,
    },
}

impl SpecError {
    /// Converts a parse error, finding its line in `text`.
    pub fn from_toml(text: &str, error: &toml::de::Error) -> Self {
        let line = error.span().map_or(1, |span| line_of_offset(text, &span));
        Self::Syntax { line, reason: error.message().into() }
    }

    /// Creates the error for a value at `span` of `text`.
    pub fn value(
        text: &str,
        span: &Range<usize>,
        field: &str,
        reason: impl Into<Box<str>>,
    ) -> Self {
        Self::Value { line: line_of_offset(text, span), field: field.into(), reason: reason.into() }
    }
}

/// Line number, counted from 1, at which a span of bytes begins.
pub fn line_of_offset(text: &str, span: &Range<usize>) -> usize {
    let end = text.floor_char_boundary(span.start);
    text[..end].matches('\n').count() + 1
}
