//! The operator's manifest: services, priorities and limits.
//!
//! A manifest names the version that it replaces, so if two are published concurrently, only the
//! first on the log is accepted. It does not list upstreams: those announce themselves.

use std::time::Duration;

use serde::Deserialize;
use toml::Spanned;

use super::SpecError;
use crate::ManifestVersion;

/// Largest number of partitions of one service.
const MAX_PARTITIONS: u16 = 32_768;

/// Largest body that a manifest may allow, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Longest default deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 10 * 60 * 1000;

/// A parsed and validated manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestSpec {
    /// Version that this manifest replaces; 0 for the first manifest.
    pub replaces: ManifestVersion,
    /// Hosts that the operator declares permanently lost, sorted.
    pub lost_hosts: Vec<Box<str>>,
    /// Services, sorted by name.
    pub services: Vec<ServiceSpec>,
}

/// One service of a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Name, the first segment of a request's path.
    pub name: Box<str>,
    /// Number of partitions.
    pub partitions: u16,
    /// How requests are assigned to upstreams.
    pub partitioning: ServicePartitioning,
    /// What the placement of partitions favours.
    pub policy: PlacementPolicy,
    /// Successors assigned to each partition besides its owner.
    pub successors: usize,
    /// Largest request body, in bytes.
    pub body_limit: usize,
    /// Time from arrival to deadline for a request without a deadline of its own.
    pub default_deadline: Duration,
    /// Requests that may wait for one upstream.
    pub queue_limit: usize,
    /// Longest time for which an upstream that does not check grants runs one request.
    pub run_bound: Option<Duration>,
    /// Rules for requests; the first that matches applies.
    pub operations: Vec<OperationSpec>,
}

/// Rule for requests with a method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperationSpec {
    /// Method in upper case; `*` for any.
    pub method: Box<str>,
    /// Prefix of the path after the service name.
    pub prefix: Box<str>,
    /// Whether running a request repeatedly has the same effect as running it once.
    pub idempotent: bool,
    /// Priority class.
    pub priority: PriorityClass,
    /// Whether only services inside the mesh may call it.
    pub internal: bool,
}

/// How a service's requests are assigned to its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServicePartitioning {
    /// By key: each key has one owner.
    Key,
    /// Not partitioned: any upstream may run an idempotent request.
    None,
}

/// What the placement of partitions favours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementPolicy {
    /// Little unavailability: moves partitions early to keep the load even.
    Availability,
    /// Few moves: moves partitions only when a bound is exceeded.
    Churn,
}

/// Priority class of a request; the smaller, the more urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Served first.
    High,
    /// The default.
    Normal,
    /// Served when no other request waits.
    Background,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawManifest {
    replaces: ManifestVersion,
    #[serde(default)]
    lost_hosts: Vec<Box<str>>,
    #[serde(default)]
    service: Vec<RawService>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    name: Spanned<Box<str>>,
    #[serde(default = "default_partitions")]
    partitions: Spanned<u16>,
    #[serde(default = "default_partitioning")]
    divided_by: ServicePartitioning,
    #[serde(default = "default_policy")]
    policy: PlacementPolicy,
    #[serde(default = "default_successors")]
    successors: Spanned<usize>,
    #[serde(default = "default_body_limit")]
    body_limit_bytes: Spanned<u64>,
    #[serde(default = "default_deadline")]
    deadline_ms: Spanned<u64>,
    #[serde(default = "default_queue_limit")]
    queue_limit: Spanned<usize>,
    run_bound_ms: Option<u64>,
    #[serde(default)]
    operation: Vec<RawOperation>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawOperation {
    #[serde(default = "default_method")]
    method: Spanned<Box<str>>,
    prefix: Spanned<Box<str>>,
    idempotent: Option<bool>,
    #[serde(default = "default_priority")]
    priority: PriorityClass,
    #[serde(default)]
    internal: bool,
}

fn default_partitions() -> Spanned<u16> {
    Spanned::new(0..0, 64)
}

fn default_partitioning() -> ServicePartitioning {
    ServicePartitioning::Key
}

fn default_policy() -> PlacementPolicy {
    PlacementPolicy::Availability
}

fn default_successors() -> Spanned<usize> {
    Spanned::new(0..0, 2)
}

fn default_body_limit() -> Spanned<u64> {
    Spanned::new(0..0, 1024 * 1024)
}

fn default_deadline() -> Spanned<u64> {
    Spanned::new(0..0, 10_000)
}

fn default_queue_limit() -> Spanned<usize> {
    Spanned::new(0..0, 64)
}

fn default_method() -> Spanned<Box<str>> {
    Spanned::new(0..0, "*".into())
}

fn default_priority() -> PriorityClass {
    PriorityClass::Normal
}

impl ManifestSpec {
    /// Parses and validates a manifest.
    ///
    /// # Errors
    ///
    /// If the text is not valid TOML or a value is not allowed, with the line and the reason.
    pub fn parse(text: &str) -> Result<Self, SpecError> {
        let raw: RawManifest =
            toml::from_str(text).map_err(|error| SpecError::from_toml(text, &error))?;
        let mut services = Vec::with_capacity(raw.service.len());
        for service in raw.service {
            let span = service.name.span();
            let spec = check_service(text, service)?;
            match services.binary_search_by(|other: &ServiceSpec| other.name.cmp(&spec.name)) {
                Ok(_) => return Err(SpecError::value(text, &span, "name", "named twice")),
                Err(index) => services.insert(index, spec),
            }
        }
        let mut lost_hosts = raw.lost_hosts;
        lost_hosts.sort_unstable();
        Ok(Self { replaces: raw.replaces, lost_hosts, services })
    }

    /// Service by name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        let index = self.services.binary_search_by(|spec| (*spec.name).cmp(name)).ok()?;
        Some(&self.services[index])
    }
}

impl ServiceSpec {
    /// Rule for a request; HTTP's definition of the method where no rule matches.
    pub fn operation(&self, method: &str, path: &str) -> OperationSpec {
        let matches = |rule: &&OperationSpec| {
            (&*rule.method == "*" || &*rule.method == method) && path.starts_with(&*rule.prefix)
        };
        self.operations.iter().find(matches).cloned().unwrap_or_else(|| OperationSpec {
            method: method.into(),
            prefix: "/".into(),
            idempotent: idempotent_method(method),
            priority: PriorityClass::Normal,
            internal: false,
        })
    }
}

/// Whether HTTP defines a method as idempotent.
fn idempotent_method(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
}

fn check_service(text: &str, raw: RawService) -> Result<ServiceSpec, SpecError> {
    let name = raw.name.get_ref();
    let valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || !name.chars().all(valid) {
        let reason = "use letters, digits, `-` and `_`";
        return Err(SpecError::value(text, &raw.name.span(), "name", reason));
    }
    let partitions = check_range(text, "partitions", &raw.partitions, 1, MAX_PARTITIONS)?;
    let successors = check_range(text, "successors", &raw.successors, 0, 4)?;
    let body_limit =
        check_range(text, "body_limit_bytes", &raw.body_limit_bytes, 1, MAX_BODY_BYTES)?;
    let deadline = check_range(text, "deadline_ms", &raw.deadline_ms, 1, MAX_DEADLINE_MS)?;
    let queue_limit = check_range(text, "queue_limit", &raw.queue_limit, 1, 100_000)?;
    let mut operations = Vec::with_capacity(raw.operation.len());
    for operation in raw.operation {
        operations.push(check_operation(text, operation)?);
    }
    Ok(ServiceSpec {
        name: raw.name.into_inner(),
        partitions,
        partitioning: raw.divided_by,
        policy: raw.policy,
        successors,
        body_limit: usize::try_from(body_limit).unwrap_or(usize::MAX),
        default_deadline: Duration::from_millis(deadline),
        queue_limit,
        run_bound: raw.run_bound_ms.map(Duration::from_millis),
        operations,
    })
}

fn check_operation(text: &str, raw: RawOperation) -> Result<OperationSpec, SpecError> {
    if !raw.prefix.get_ref().starts_with('/') {
        return Err(SpecError::value(text, &raw.prefix.span(), "prefix", "must begin with `/`"));
    }
    let method = raw.method.get_ref();
    if &**method != "*" && !method.chars().all(|c| c.is_ascii_uppercase()) {
        let reason = "must be `*` or upper case";
        return Err(SpecError::value(text, &raw.method.span(), "method", reason));
    }
    let idempotent = raw.idempotent.unwrap_or_else(|| idempotent_method(method));
    Ok(OperationSpec {
        method: raw.method.into_inner(),
        prefix: raw.prefix.into_inner(),
        idempotent,
        priority: raw.priority,
        internal: raw.internal,
    })
}

fn check_range<T: PartialOrd + Copy + std::fmt::Display>(
    text: &str,
    field: &str,
    value: &Spanned<T>,
    low: T,
    high: T,
) -> Result<T, SpecError> {
    let number = *value.get_ref();
    if number < low || number > high {
        let reason = format!("must be from {low} to {high}, got {number}");
        return Err(SpecError::value(text, &value.span(), field, reason));
    }
    Ok(number)
}
