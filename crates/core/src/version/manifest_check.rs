//! Check of a decoded manifest for what is probably a mistake although nodes accept it.

use std::time::Duration;

use super::{CheckFinding, FindingKind, FindingPlace, RouteManifest, RouteRow};

/// Limits of a node that a manifest is checked against.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CheckBounds {
    /// Retries allowed per request within the window of the retry budget.
    pub retry_ratio: f64,
    /// Retries allowed in a window regardless of its number of requests.
    pub retry_allowance: f64,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
}

/// Returns the findings about a manifest: those of routes in the order of host and prefix, those of services
/// by name, then those of the limits. Without bounds, the checks that need them are left out.
pub fn check_manifest(manifest: &RouteManifest, bounds: Option<&CheckBounds>) -> Vec<CheckFinding> {
    let mut findings = Vec::new();
    let mut names: Vec<_> = manifest.routes().iter().map(|route| &*route.name).collect();
    names.sort_unstable();
    let reached = reached_services(manifest);
    for route in manifest.routes() {
        let mut kinds = route_findings(manifest, route, bounds);
        // Reported once per name, at the first route that has it.
        if is_repeated(&names, &route.name) {
            let first = manifest.routes().iter().find(|row| row.name == route.name);
            if first.is_some_and(|row| std::ptr::eq(row, route)) {
                kinds.push(FindingKind::RepeatedName);
            }
        }
        let kinds = kinds.into_iter();
        let place = FindingPlace::Route(route.name.clone());
        findings.extend(kinds.map(|kind| CheckFinding { place: place.clone(), kind }));
    }
    for (index, service) in manifest.services().iter().enumerate() {
        let is_repeated = index > 0 && manifest.services()[index - 1].name == service.name;
        let kind = if is_repeated {
            FindingKind::RepeatedName
        } else if reached.binary_search(&&*service.name).is_ok() {
            continue;
        } else {
            FindingKind::UnreachedService
        };
        findings.push(CheckFinding { place: FindingPlace::Service(service.name.clone()), kind });
    }
    let limits = limit_findings(manifest, bounds).into_iter();
    findings.extend(limits.map(|kind| CheckFinding { place: FindingPlace::Limits, kind }));
    findings
}

/// Whether requests can match a route.
pub(super) fn is_matched(manifest: &RouteManifest, route: &RouteRow) -> bool {
    let found = manifest.find(&route.host, &route.prefix);
    found.is_some_and(|row| std::ptr::eq(row, route))
        && is_host_name(&route.host)
        && is_path_start(&route.prefix)
}

/// Whether requests can name the host: nodes compare it in lower case and without a port.
fn is_host_name(host: &str) -> bool {
    let is_valid =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b".-_".contains(&byte);
    !host.is_empty() && host.bytes().all(is_valid)
}

/// Whether paths can begin with the prefix: a query, a fragment or a blank ends a path.
fn is_path_start(prefix: &str) -> bool {
    !prefix.bytes().any(|byte| b"?#".contains(&byte) || byte <= b' ')
}

fn route_findings(
    manifest: &RouteManifest,
    route: &RouteRow,
    bounds: Option<&CheckBounds>,
) -> Vec<FindingKind> {
    let mut kinds = Vec::new();
    let found = manifest.find(&route.host, &route.prefix);
    if let Some(other) = found.filter(|row| !std::ptr::eq(*row, route)) {
        kinds.push(FindingKind::ShadowedRoute { by: other.name.clone() });
    }
    if !is_host_name(&route.host) {
        kinds.push(FindingKind::UnmatchedHost { host: route.host.clone() });
    }
    if manifest.respelled_hosts.contains(&route.name) {
        kinds.push(FindingKind::RespelledHost);
    }
    if !is_path_start(&route.prefix) {
        kinds.push(FindingKind::UnmatchedPrefix { prefix: route.prefix.clone() });
    }
    if manifest.unknown_kinds.contains(&route.name) {
        kinds.push(FindingKind::UnknownKind);
    }
    kinds.extend(split_findings(route));
    if route.timeout == Duration::ZERO {
        kinds.push(FindingKind::ZeroTimeout { name: "time-out" });
    }
    if route.objective > route.timeout {
        let (objective, timeout) = (route.objective, route.timeout);
        kinds.push(FindingKind::ObjectiveOverTimeout { objective, timeout });
    }
    let attempts = route.attempts;
    if attempts > 1 && !route.kind.repeatable() {
        kinds.push(FindingKind::RepeatedAttempts { attempts });
    }
    if let Some(allowed) = bounds.map(allowed_attempts).filter(|allowed| attempts > *allowed) {
        kinds.push(FindingKind::AttemptsOverBudget { attempts, allowed });
    }
    kinds
}

/// Attempts that the retry budget allows for a request that is alone in its window.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn allowed_attempts(bounds: &CheckBounds) -> u32 {
    // The conversion saturates.
    ((bounds.retry_ratio + bounds.retry_allowance).floor() as u32).saturating_add(1)
}

fn split_findings(route: &RouteRow) -> Vec<FindingKind> {
    let total: u64 = route.parts.iter().map(|part| u64::from(part.weight)).sum();
    if total == 0 {
        return vec![FindingKind::NoWeight];
    }
    let empty = route.parts.iter().filter(|part| part.weight == 0);
    let mut kinds: Vec<_> =
        empty.map(|part| FindingKind::ZeroWeight { service: part.service.clone() }).collect();
    if total > u64::from(u32::MAX) {
        kinds.push(FindingKind::WeightOverflow);
    }
    kinds
}

/// Services that get requests, sorted.
fn reached_services(manifest: &RouteManifest) -> Vec<&str> {
    let matched = manifest.routes().iter().filter(|route| is_matched(manifest, route));
    let parts = matched.flat_map(|route| &route.parts).filter(|part| part.weight > 0);
    let mut names: Vec<_> = parts.map(|part| &*part.service).collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// Whether a name is more than once among sorted names.
fn is_repeated(names: &[&str], name: &str) -> bool {
    let at = names.partition_point(|other| *other < name);
    names.get(at + 1).is_some_and(|next| *next == name)
}

fn limit_findings(manifest: &RouteManifest, bounds: Option<&CheckBounds>) -> Vec<FindingKind> {
    let limits = &manifest.limits;
    let timeouts =
        [("header time-out", limits.header_timeout), ("idle time-out", limits.idle_timeout)];
    let zero = timeouts.into_iter().filter(|(_, timeout)| timeout.is_zero());
    let mut kinds: Vec<_> = zero.map(|(name, _)| FindingKind::ZeroTimeout { name }).collect();
    let body = u64::try_from(limits.body_bytes).unwrap_or(u64::MAX);
    if let Some(bounds) = bounds.filter(|bounds| body > bounds.memory) {
        kinds.push(FindingKind::BodyOverMemory { body, memory: bounds.memory });
    }
    kinds
}
