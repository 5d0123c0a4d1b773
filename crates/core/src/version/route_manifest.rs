//! Routes by host and path prefix.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

/// Short form of a route's name, which nodes send with forwarded requests.
pub type RouteId = u32;

/// Returns the short form of a route's name. Two routes with the same one share measured run times.
#[allow(clippy::cast_possible_truncation)]
pub fn route_id(name: &str) -> RouteId {
    xxh3_64(name.as_bytes()) as RouteId
}

/// Whether requests of a route may be repeated, and how large their responses are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of a caller.
    NonIdempotent,
    /// Idempotent, with a large response.
    Download,
    /// Non-idempotent, with a large body.
    Upload,
}

impl RequestKind {
    /// Whether a request may be sent again after an attempt that may have run.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Download)
    }
}

/// A service's part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitRow {
    /// Service that receives the part.
    pub service: Box<str>,
    /// Weight relative to the other parts of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRow {
    /// Name, unique among the routes.
    pub name: Box<str>,
    /// Host in the callers' requests, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// Longest time from the arrival of a request to its response.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Most upstreams that one attempt of a caller may be sent to.
    pub attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Services that the traffic is split among.
    pub parts: Vec<SplitRow>,
    /// Regions that the requests may reach, sorted; empty if they may reach any.
    pub homes: Vec<Box<str>>,
}

impl RouteRow {
    /// Service for a random number `draw` from 0 to 1, in proportion to the weights.
    pub fn service_at(&self, draw: f64) -> &str {
        let total: u32 = self.parts.iter().map(|part| part.weight).sum();
        let mut rest = draw * f64::from(total);
        for part in &self.parts {
            rest -= f64::from(part.weight);
            if rest < 0.0 {
                return &part.service;
            }
        }
        self.parts.iter().rfind(|part| part.weight > 0).map_or("", |part| &part.service)
    }
}

/// What a cold upstream of a service bears: one that started a short time ago.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTerms {
    /// Time for which an upstream is cold after its start.
    pub duration: Duration,
    /// Requests per second that it takes while it is cold.
    pub per_second: f64,
}

/// A service of the manifest.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshService {
    /// Name, unique in the manifest.
    pub name: Box<str>,
    /// Path of the upstreams' health check.
    pub health_path: Box<str>,
    /// Connections that an upstream accepts.
    pub connections: u32,
    /// Whether the keys are divided among the upstreams, so that each key has one owner.
    pub sharded: bool,
    /// Time for which an upstream is slow on keys that it takes over without a handover.
    pub warm_up: Duration,
    /// What its upstreams bear while they are cold; `None` if they take as many requests as later.
    pub cold: Option<ColdTerms>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request's head must arrive.
    pub header_timeout: Duration,
    /// Time for which an idle connection is kept open.
    pub idle_timeout: Duration,
}

/// Routes, services and limits of one manifest version.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteManifest {
    /// Manifest version.
    pub version: u64,
    /// Routes, sorted by host, then by prefix.
    routes: Vec<RouteRow>,
    /// Services, sorted by name.
    services: Vec<MeshService>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Routes whose kind is not known, and which are served as [`RequestKind::Upload`].
    pub unknown_kinds: Vec<Box<str>>,
    /// Routes whose host is not written in lower case.
    pub respelled_hosts: Vec<Box<str>>,
}

impl RouteManifest {
    /// Creates a manifest and sorts its rows.
    pub fn new(
        version: u64,
        mut routes: Vec<RouteRow>,
        mut services: Vec<MeshService>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let (unknown_kinds, respelled_hosts) = (Vec::new(), Vec::new());
        Self { version, routes, services, limits, unknown_kinds, respelled_hosts }
    }

    /// Routes, sorted by host and prefix.
    pub fn routes(&self) -> &[RouteRow] {
        &self.routes
    }

    /// Services, sorted by name.
    pub fn services(&self) -> &[MeshService] {
        &self.services
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&MeshService> {
        let index = self.services.binary_search_by(|row| (*row.name).cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Route of `host` with the longest prefix that matches `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let mut end = path.len();
        loop {
            end = path[..end].rfind('/')? + 1;
            let key = (host, &path[..end]);
            let found = self.routes.binary_search_by(|row| (&*row.host, &*row.prefix).cmp(&key));
            if let Ok(index) = found {
                return Some(&self.routes[index]);
            }
            end -= 1;
        }
    }
}
