//! Reasons why a request gets no response from an upstream.

use std::time::Duration;

use snafu::Snafu;

use super::RequestVerdict;

/// Why a request gets no response from an upstream; determines the status and the verdict.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RequestFailure {
    /// No service in the manifest has this name.
    #[snafu(display("no service of this name"))]
    UnknownService,
    /// No manifest is in force yet.
    #[snafu(display("no manifest is in force"))]
    NoManifest,
    /// The service requires a key and the request has none.
    #[snafu(display("the Firspindle-Key header is missing"))]
    MissingKey,
    /// The value of a header is invalid.
    #[snafu(display("bad {header}: {reason}"))]
    BadHeader {
        /// Name of the header.
        header: &'static str,
        /// What is wrong.
        reason: &'static str,
    },
    /// Only services inside the mesh may call the operation.
    #[snafu(display("this operation is internal"))]
    InternalOnly,
    /// The body exceeds the service's limit.
    #[snafu(display("the body is over {limit} bytes"))]
    BodyTooLarge {
        /// Limit, in bytes.
        limit: usize,
    },
    /// The request's body ended early.
    #[snafu(display("the request's body ended early"))]
    BodyTruncated,
    /// The headers exceed the limit.
    #[snafu(display("the headers are over {limit} bytes"))]
    HeadTooLarge {
        /// Limit, in bytes.
        limit: usize,
    },
    /// The deadline passed before the request was sent to an upstream.
    #[snafu(display("the deadline passed before the request ran"))]
    Expired,
    /// The upstream's queue shed the request.
    #[snafu(display("the upstream's queue is full"))]
    Overloaded {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// No node serves the partition at present.
    #[snafu(display("no owner serves this key now"))]
    NoOwner,
    /// This node does not serve the partition.
    #[snafu(display("this node does not own the key"))]
    NotOwner,
    /// The upstream refused the request without running any of it.
    #[snafu(display("the upstream refused the request unrun"))]
    UpstreamRefused {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The upstream refused the request without running any of it, as it knows no valid grant.
    #[snafu(display("the upstream has no grant for this key"))]
    UpstreamUngranted,
    /// The upstream accepts no connections.
    #[snafu(display("the upstream accepts no connections"))]
    UpstreamUnreachable,
    /// The request is refused because it was in flight during two crashes of upstreams.
    #[snafu(display("upstreams crashed twice while they ran this request"))]
    CrashesUpstreams {
        /// Time until the refusal ends.
        retry_after: Duration,
    },
    /// A request with this id is running.
    #[snafu(display("a request with this id is running"))]
    StillRunning,
    /// A request with this id ran, and its response is no longer kept.
    #[snafu(display("this request ran before; its answer is not kept"))]
    RanBefore,
    /// Whether a request with this id ran is unknown.
    #[snafu(display("a request with this id may have run before"))]
    OutcomeUnknown,
    /// The connection to the upstream or owner broke after sending.
    #[snafu(display("the connection broke while the request was in flight"))]
    ConnectionLost,
    /// The upstream's response ended early or exceeded the limit.
    #[snafu(display("the answer was cut short"))]
    ResponseTruncated,
    /// The deadline passed while the request ran.
    #[snafu(display("the deadline passed while the request ran"))]
    DeadlinePassed,
}

impl RequestFailure {
    /// Whether the request may have run.
    pub const fn verdict(&self) -> RequestVerdict {
        match self {
            Self::RanBefore => RequestVerdict::Ran,
            Self::StillRunning
            | Self::OutcomeUnknown
            | Self::ConnectionLost
            | Self::ResponseTruncated
            | Self::DeadlinePassed => RequestVerdict::MayHaveRun,
            _ => RequestVerdict::NotRun,
        }
    }

    /// Whether an upstream refused the request, so that another send of it is a retry.
    pub const fn is_upstream_refusal(&self) -> bool {
        matches!(self, Self::UpstreamRefused { .. } | Self::UpstreamUngranted)
    }

    /// Whether the request did not run because the node that has it cannot serve its partition, so that
    /// another may.
    pub const fn is_misplaced(&self) -> bool {
        matches!(self, Self::NotOwner | Self::UpstreamUngranted | Self::UpstreamUnreachable)
    }

    /// Returns the HTTP status of the response.
    pub const fn status(&self) -> u16 {
        match self {
            Self::MissingKey | Self::BadHeader { .. } | Self::BodyTruncated => 400,
            Self::InternalOnly => 403,
            Self::UnknownService => 404,
            Self::StillRunning | Self::RanBefore | Self::OutcomeUnknown => 409,
            Self::BodyTooLarge { .. } => 413,
            Self::CrashesUpstreams { .. } => 422,
            Self::HeadTooLarge { .. } => 431,
            Self::ConnectionLost | Self::ResponseTruncated => 502,
            Self::Overloaded { .. }
            | Self::NoManifest
            | Self::NoOwner
            | Self::NotOwner
            | Self::UpstreamRefused { .. }
            | Self::UpstreamUngranted
            | Self::UpstreamUnreachable => 503,
            Self::Expired | Self::DeadlinePassed => 504,
        }
    }

    /// Time after which the caller may retry, for refusals that are likely to pass.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Overloaded { retry_after }
            | Self::CrashesUpstreams { retry_after }
            | Self::UpstreamRefused { retry_after } => Some(*retry_after),
            Self::NoManifest
            | Self::NoOwner
            | Self::NotOwner
            | Self::UpstreamUngranted
            | Self::UpstreamUnreachable => Some(Duration::from_secs(1)),
            _ => None,
        }
    }
}
