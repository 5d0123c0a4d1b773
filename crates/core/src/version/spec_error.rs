//! Errors of settings and manifests, with the place in the file.

use std::ops::Range;

use snafu::Snafu;

/// A settings file or manifest that was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SpecError {
    /// The text is not TOML of the expected form.
    #[snafu(display("line {line}: {reason}"))]
    Syntax {
        /// Line of the fault, from 1.
        line: usize,
        /// What is wrong.
        reason: Box<str>,
    },
    /// The form is right, a value is not.
    #[snafu(display("line {line}: `{field}`: {reason}"))]
    Value {
        /// Line of the fault, from 1.
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

    /// A refused value at `span` of `text`.
    pub fn value(
        text: &str,
        span: &Range<usize>,
        field: &str,
        reason: impl Into<Box<str>>,
    ) -> Self {
        Self::Value { line: line_of_offset(text, span), field: field.into(), reason: reason.into() }
    }
}

/// Line number, from 1, at which a span of bytes begins.
pub fn line_of_offset(text: &str, span: &Range<usize>) -> usize {
    let end = text.floor_char_boundary(span.start);
    text[..end].matches('\n').count() + 1
}
