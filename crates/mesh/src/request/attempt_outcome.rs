//! How one attempt at a request ended.

use std::time::Duration;

use crate::connection::ProxyResponse;

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// The node does not own the key, or has no grant for it yet.
    NotOwner,
    /// The node or its upstream is unreachable.
    Unreachable,
    /// The queue in front of the upstream is full.
    QueueFull,
    /// The queue in front of the upstream is known to be full, so the request was not forwarded.
    KnownFull,
    /// The upstream refused the request.
    Refused,
    /// The upstream is shutting down and accepts no more requests.
    Leaving,
    /// The request is refused because upstreams crashed while they ran it.
    CrashesUpstreams,
    /// The upstream's data centre is evacuated, or the node does not know yet whether it is.
    Evacuated,
    /// The route's requests may not reach the region of the upstream.
    OutsideHome,
    /// The host's link has no room for the request's body in time.
    LinkFull,
    /// The node has no memory for the request's body.
    NoMemory,
    /// The request's body was cut short.
    BodyCutShort,
    /// The request's body is longer than the manifest allows.
    BodyTooLarge,
    /// The request's body arrived too slowly.
    BodyTooSlow,
}

impl NotRunReason {
    /// Text of the reason in the `firspindle-reason` header, in logs and in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotOwner => "not-owner",
            Self::Unreachable => "unreachable",
            Self::QueueFull | Self::KnownFull => "full",
            Self::Refused => "refused",
            Self::Leaving => "leaving",
            Self::CrashesUpstreams => "crashes-upstreams",
            Self::Evacuated => "evacuated",
            Self::OutsideHome => "outside-home",
            Self::LinkFull => "link-full",
            Self::NoMemory => "no-memory",
            Self::BodyCutShort => "body-cut-short",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyTooSlow => "body-too-slow",
        }
    }

    /// Whether the host had no room for the request.
    pub const fn is_full(self) -> bool {
        matches!(self, Self::QueueFull | Self::LinkFull | Self::NoMemory)
    }

    /// Whether the request's own body is the reason.
    pub const fn is_body_fault(self) -> bool {
        matches!(self, Self::BodyCutShort | Self::BodyTooLarge | Self::BodyTooSlow)
    }

    /// Parses a `firspindle-reason` header; an unknown text counts as [`Self::Unreachable`].
    pub fn parse(text: &str) -> Self {
        match text {
            "not-owner" => Self::NotOwner,
            "full" => Self::QueueFull,
            "refused" => Self::Refused,
            "leaving" => Self::Leaving,
            "crashes-upstreams" => Self::CrashesUpstreams,
            "evacuated" => Self::Evacuated,
            "outside-home" => Self::OutsideHome,
            "link-full" => Self::LinkFull,
            "no-memory" => Self::NoMemory,
            "body-cut-short" => Self::BodyCutShort,
            "body-too-large" => Self::BodyTooLarge,
            "body-too-slow" => Self::BodyTooSlow,
            _ => Self::Unreachable,
        }
    }
}

/// How one attempt at a request ended.
pub enum AttemptOutcome {
    /// The upstream responded.
    Answered(Box<ProxyResponse>),
    /// The request has not run and will not run.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Time after which a retry may succeed, if known.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    MayHaveRun {
        /// Why that is unknown.
        reason: &'static str,
    },
}
