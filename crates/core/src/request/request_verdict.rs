//! Whether a request may have run.

use std::fmt;

/// Whether a request may have run; on every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It ran once and this is its answer.
    Ran,
    /// It did not run and never will under this id unless it is sent again.
    NotRun,
    /// Nobody can tell.
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

    /// Verdict of a header value; an unknown one promises nothing.
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
