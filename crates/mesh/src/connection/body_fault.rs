//! Why a request body did not arrive whole.

/// Why a request body did not arrive whole. Its request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFault {
    /// It was cut short.
    CutShort,
    /// It is longer than the manifest allows.
    TooLarge,
    /// Its sender is too slow.
    TooSlow,
    /// There is no memory for it.
    NoMemory,
}

impl std::fmt::Display for BodyFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::CutShort => "the body is cut short",
            Self::TooLarge => "the body is too large",
            Self::TooSlow => "the body arrives too slowly",
            Self::NoMemory => "there is no memory for the body",
        })
    }
}

impl std::error::Error for BodyFault {}
