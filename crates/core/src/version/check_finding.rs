//! What the check of a manifest finds. Nodes accept a manifest with findings; what they refuse is an error
//! of their decoder.

use std::fmt;
use std::time::Duration;

/// Whether a finding or a change needs a decision before the manifest is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSeverity {
    /// Stated for information.
    Note,
    /// Probably a mistake.
    Warning,
}

impl FindingSeverity {
    /// Name in outputs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Note => "note",
            Self::Warning => "warning",
        }
    }
}

/// Part of a manifest that a finding or a change is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FindingPlace {
    /// Route by name.
    Route(Box<str>),
    /// Service by name.
    Service(Box<str>),
    /// Limits on callers' requests and connections.
    Limits,
    /// Version of the manifest.
    Version,
}

impl fmt::Display for FindingPlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Route(name) => write!(f, "route {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Limits => f.write_str("limits"),
            Self::Version => f.write_str("version"),
        }
    }
}

/// What is wrong with a part of a manifest.
#[derive(Debug, Clone, PartialEq)]
pub enum FindingKind {
    /// Another route has the same host and prefix, and requests match that one.
    ShadowedRoute {
        /// Name of the route that matches.
        by: Box<str>,
    },
    /// No request has the route's host: it has a port or other characters than a host name.
    UnmatchedHost {
        /// Host of the route.
        host: Box<str>,
    },
    /// The host is written in upper case, which nodes convert to lower case.
    RespelledHost,
    /// No request's path begins with the prefix.
    UnmatchedPrefix {
        /// Prefix of the route.
        prefix: Box<str>,
    },
    /// The name is used more than once.
    RepeatedName,
    /// No route sends requests to the service.
    UnreachedService,
    /// A part of the split gets no requests.
    ZeroWeight {
        /// Service of the part.
        service: Box<str>,
    },
    /// No part of the split gets requests.
    NoWeight,
    /// The weights add up to more than nodes can count.
    WeightOverflow,
    /// The latency objective is above the time-out.
    ObjectiveOverTimeout {
        /// Latency objective.
        objective: Duration,
        /// Longest time to the response.
        timeout: Duration,
    },
    /// More than one attempt although requests must not be repeated.
    RepeatedAttempts {
        /// Attempts of the route.
        attempts: u32,
    },
    /// More attempts than the retry budget allows for a request alone in its window.
    AttemptsOverBudget {
        /// Attempts of the route.
        attempts: u32,
        /// Attempts that the budget allows.
        allowed: u32,
    },
    /// The kind is not known, and the requests are served as uploads.
    UnknownKind,
    /// A time-out is 0.
    ZeroTimeout {
        /// Which time-out.
        name: &'static str,
    },
    /// The largest body does not fit into the memory of a node.
    BodyOverMemory {
        /// Largest body, in bytes.
        body: u64,
        /// Memory of the node, in bytes.
        memory: u64,
    },
    /// Nodes ignore the manifest, because its version is not above the one in force.
    VersionNotNewer {
        /// Version of the checked manifest.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
}

impl FindingKind {
    /// Name in outputs; does not change between versions.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::ShadowedRoute { .. } => "shadowed-route",
            Self::UnmatchedHost { .. } => "unmatched-host",
            Self::RespelledHost => "respelled-host",
            Self::UnmatchedPrefix { .. } => "unmatched-prefix",
            Self::RepeatedName => "repeated-name",
            Self::UnreachedService => "unreached-service",
            Self::ZeroWeight { .. } => "zero-weight",
            Self::NoWeight => "no-weight",
            Self::WeightOverflow => "weight-overflow",
            Self::ObjectiveOverTimeout { .. } => "objective-over-timeout",
            Self::RepeatedAttempts { .. } => "repeated-attempts",
            Self::AttemptsOverBudget { .. } => "attempts-over-budget",
            Self::UnknownKind => "unknown-kind",
            Self::ZeroTimeout { .. } => "zero-timeout",
            Self::BodyOverMemory { .. } => "body-over-memory",
            Self::VersionNotNewer { .. } => "version-not-newer",
        }
    }
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ShadowedRoute { by } => {
                write!(f, "never matches: route {by} has the same host and prefix")
            }
            Self::UnmatchedHost { host } => {
                write!(f, "never matches: `{host}` is not a host name without port")
            }
            Self::RespelledHost => f.write_str("the host has upper case; nodes use lower case"),
            Self::UnmatchedPrefix { prefix } => {
                write!(f, "never matches: no path begins with `{prefix}`")
            }
            Self::RepeatedName => f.write_str("the name is used more than once"),
            Self::UnreachedService => f.write_str("no route sends requests to it"),
            Self::ZeroWeight { service } => write!(f, "service {service} has weight 0"),
            Self::NoWeight => f.write_str("all weights are 0, so no request is served"),
            Self::WeightOverflow => write!(f, "the weights add up to more than {}", u32::MAX),
            Self::ObjectiveOverTimeout { objective, timeout } => {
                write!(f, "objective {objective:?} is above time-out {timeout:?}")
            }
            Self::RepeatedAttempts { attempts } => {
                write!(f, "{attempts} attempts, but requests of its kind are not repeated")
            }
            Self::AttemptsOverBudget { attempts, allowed } => {
                write!(
                    f,
                    "{attempts} attempts, but the retry budget allows {allowed} for a request alone"
                )
            }
            Self::UnknownKind => f.write_str("the kind is unknown; requests are served as uploads"),
            Self::ZeroTimeout { name } => write!(f, "{name} is 0"),
            Self::BodyOverMemory { body, memory } => {
                write!(f, "bodies of {body} bytes are above the node's memory of {memory} bytes")
            }
            Self::VersionNotNewer { version, in_force } => {
                write!(f, "nodes ignore version {version}, because {in_force} is in force")
            }
        }
    }
}

/// One finding.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckFinding {
    /// Where in the manifest.
    pub place: FindingPlace,
    /// What is wrong there.
    pub kind: FindingKind,
}

impl CheckFinding {
    /// Whether the finding needs a decision.
    pub const fn severity(&self) -> FindingSeverity {
        FindingSeverity::Warning
    }
}
