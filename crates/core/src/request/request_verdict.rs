//! Verdict on whether a request ran.

use std::fmt;

/// Whether a request ran; sent to the caller with every response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It ran once, and this is its response.
    Ran,
    /// It did not run, and will not run under this id unless it is sent again.
    NotRun,
    /// It is unknown whether it ran.
    MayHaveRun,
}

impl RequestVerdict {
    /// Value of the `Firspindle-Verdict` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }

    /// Parses a header value; an unknown value counts as [`RequestVerdict::MayHaveRun`], which
    /// promises nothing.
    pub fn parse(text: &str) -> Self {
        match text {
            "ran" => Self::Ran,
            "not-run" => Self::NotRun,
            _ => Self::MayHaveRun,
        }
    }
}

impl fmt::Display for RequestVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
