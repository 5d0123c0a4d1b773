//! Routes by host and path prefix.

use std::time::Duration;

/// What may be done again with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most for each attempt of a caller.
    NonIdempotent,
    /// Idempotent, with a large answer.
    Download,
}

impl RequestKind {
    /// Whether another attempt may follow one that may have run.
    pub const fn repeatable(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// A part of a route's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitRow {
    /// Service that takes the part.
    pub service: Box<str>,
    /// Weight among the route's parts.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRow {
    /// Name, unique among the routes.
    pub name: Box<str>,
    /// Host that callers name, in lower case.
    pub host: Box<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Most upstreams to which one attempt of a caller may be sent.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that share the traffic.
    pub parts: Vec<SplitRow>,
}

impl RouteRow {
    /// Service for a draw from 0 to 1.
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

/// A service of the manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeshService {
    /// Name.
    pub name: Box<str>,
    /// Path of the upstreams' health check.
    pub health_path: Box<str>,
    /// Connections that an upstream accepts.
    pub connections: u32,
    /// Whether keys are divided among the upstreams.
    pub partitioned: bool,
    /// Time for which keys are slow that arrive without a handover.
    pub warm_up: Duration,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time for which an idle connection is kept.
    pub idle_timeout: Duration,
}

/// Routes, services and limits of one manifest version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteManifest {
    /// Version.
    pub version: u64,
    /// Routes, sorted by host, then by prefix.
    routes: Vec<RouteRow>,
    /// Services, sorted by name.
    services: Vec<MeshService>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl RouteManifest {
    /// Sorts the rows of a manifest.
    pub fn new(
        version: u64,
        mut routes: Vec<RouteRow>,
        mut services: Vec<MeshService>,
        limits: CallerLimits,
    ) -> Self {
        routes.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        services.sort_by(|a, b| a.name.cmp(&b.name));
        Self { version, routes, services, limits }
    }

    /// Routes, sorted by host and prefix.
    pub fn routes(&self) -> &[RouteRow] {
        &self.routes
    }

    /// Services, sorted by name.
    pub fn services(&self) -> &[MeshService] {
        &self.services
    }

    /// Service of a name.
    pub fn service(&self, name: &str) -> Option<&MeshService> {
        let index = self.services.binary_search_by(|row| (*row.name).cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Route with the longest prefix of `path`, among those of `host`.
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
