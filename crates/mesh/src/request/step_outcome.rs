//! How one attempt at a request ended.

use std::time::Duration;

use crate::connection::AnswerResponse;

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The node does not own the key, or not yet.
    NotOwner,
    /// The node or its upstream cannot be reached.
    Unreachable,
    /// The queue before the upstream has no place.
    Full,
    /// The upstream refused.
    Refused,
    /// The upstream leaves.
    Leaving,
    /// Upstreams crashed while they ran it.
    Crashes,
}

impl NotRunReason {
    /// Word between nodes and in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::Unreachable => "unreachable",
            Self::Full => "full",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::Crashes => "crashes-upstreams",
        }
    }

    /// Reason of a word.
    pub fn parse(text: &str) -> Self {
        match text {
            "not-owner" => Self::NotOwner,
            "full" => Self::Full,
            "refused" => Self::Refused,
            "leaving" => Self::Leaving,
            "crashes-upstreams" => Self::Crashes,
            _ => Self::Unreachable,
        }
    }
}

/// How one attempt ended.
pub enum StepOutcome {
    /// The upstream answered.
    Answered(Box<AnswerResponse>),
    /// It has not run and will not.
    NotRun {
        /// Reason.
        reason: NotRunReason,
        /// When to come back, if that is known.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    MayHaveRun {
        /// Reason.
        reason: &'static str,
    },
}
