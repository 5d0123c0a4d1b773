//! Differences between the manifest in force and the one to be published, with their effect on requests.
//!
//! Routes are compared by host and prefix, because these decide which requests a route gets. A route that
//! requests never match is left out on both sides.

use super::manifest_check::is_matched;
use super::{
    CheckFinding, FindingKind, FindingPlace, FindingSeverity, MeshService, RouteManifest, RouteRow,
};

/// How a part of the manifest differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// Only in the new manifest.
    Added,
    /// Only in the manifest in force.
    Removed,
    /// In both, with other values.
    Changed,
}

impl ChangeKind {
    /// Name in outputs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Added => "added",
            Self::Removed => "removed",
            Self::Changed => "changed",
        }
    }
}

/// A field with other values than before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// Name of the field.
    pub field: &'static str,
    /// Value in force.
    pub before: Box<str>,
    /// Value in the new manifest.
    pub after: Box<str>,
}

/// One difference between two manifests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestChange {
    /// What differs; a route has the name of the new manifest, if it is in there.
    pub place: FindingPlace,
    /// How it differs.
    pub kind: ChangeKind,
    /// Fields that differ, if it is in both manifests.
    pub fields: Vec<FieldChange>,
    /// What the change does to requests; empty if nothing beyond the fields.
    pub effect: Box<str>,
    /// Warning if requests that are served now would get 404.
    pub severity: FindingSeverity,
}

/// Returns the finding that nodes ignore `new`, if they do where `old` is in force.
pub fn check_version(old: &RouteManifest, new: &RouteManifest) -> Option<CheckFinding> {
    let kind = FindingKind::VersionNotNewer { version: new.version, in_force: old.version };
    (new.version <= old.version).then_some(CheckFinding { place: FindingPlace::Version, kind })
}

/// Returns the differences: routes in the order of host and prefix, then services, then the limits.
pub fn compare_manifests(old: &RouteManifest, new: &RouteManifest) -> Vec<ManifestChange> {
    let mut changes = route_changes(old, new);
    changes.extend(service_changes(old, new));
    let (before, after) = (&old.limits, &new.limits);
    let limits = [
        field("header bytes", &before.header_bytes, &after.header_bytes),
        field("body bytes", &before.body_bytes, &after.body_bytes),
        field("header time-out", &before.header_timeout, &after.header_timeout),
        field("idle time-out", &before.idle_timeout, &after.idle_timeout),
    ];
    changes.extend(changed(FindingPlace::Limits, limits, ""));
    changes
}

fn field(
    field: &'static str,
    before: &impl std::fmt::Debug,
    after: &impl std::fmt::Debug,
) -> Option<FieldChange> {
    text_field(field, format!("{before:?}"), format!("{after:?}"))
}

fn text_field(field: &'static str, before: String, after: String) -> Option<FieldChange> {
    (before != after).then(|| FieldChange { field, before: before.into(), after: after.into() })
}

/// Returns the change of a part that is in both manifests; `None` if no field differs.
fn changed(
    place: FindingPlace,
    fields: impl IntoIterator<Item = Option<FieldChange>>,
    effect: &str,
) -> Option<ManifestChange> {
    let fields: Vec<_> = fields.into_iter().flatten().collect();
    (!fields.is_empty()).then(|| ManifestChange {
        place,
        kind: ChangeKind::Changed,
        fields,
        effect: effect.into(),
        severity: FindingSeverity::Note,
    })
}

fn whole(
    place: FindingPlace,
    kind: ChangeKind,
    effect: impl Into<Box<str>>,
    severity: FindingSeverity,
) -> ManifestChange {
    ManifestChange { place, kind, fields: Vec::new(), effect: effect.into(), severity }
}

/// Route that requests under the host and prefix of `route` match.
fn found<'a>(manifest: &'a RouteManifest, route: &RouteRow) -> Option<&'a RouteRow> {
    manifest.find(&route.host, &route.prefix)
}

fn has_same_place(a: &RouteRow, b: &RouteRow) -> bool {
    a.host == b.host && a.prefix == b.prefix
}

fn route_changes(old: &RouteManifest, new: &RouteManifest) -> Vec<ManifestChange> {
    let mut rows = Vec::new();
    for route in old.routes().iter().filter(|row| is_matched(old, row)) {
        let other = found(new, route);
        if other.is_some_and(|row| has_same_place(row, route)) {
            continue;
        }
        let at = format!("{}{}", route.host, route.prefix);
        let (effect, severity) = match other {
            None => (format!("requests for {at} would get 404"), FindingSeverity::Warning),
            Some(row) => {
                let effect = format!(
                    "requests for {at} match route {}{}",
                    row.name,
                    moved_services(route, row)
                );
                (effect, FindingSeverity::Note)
            }
        };
        let place = FindingPlace::Route(route.name.clone());
        rows.push((route, whole(place, ChangeKind::Removed, effect, severity)));
    }
    for route in new.routes().iter().filter(|row| is_matched(new, row)) {
        let place = FindingPlace::Route(route.name.clone());
        let at = format!("{}{}", route.host, route.prefix);
        let change = match found(old, route) {
            Some(before) if has_same_place(before, route) => changed_route(before, route),
            Some(before) => {
                let effect = format!(
                    "requests for {at} matched route {}{}",
                    before.name,
                    moved_services(before, route)
                );
                Some(whole(place, ChangeKind::Added, effect, FindingSeverity::Note))
            }
            None => {
                let effect = format!("requests for {at} got 404 and are served");
                Some(whole(place, ChangeKind::Added, effect, FindingSeverity::Note))
            }
        };
        rows.extend(change.map(|change| (route, change)));
    }
    rows.sort_by(|a, b| (&a.0.host, &a.0.prefix).cmp(&(&b.0.host, &b.0.prefix)));
    rows.into_iter().map(|(_, change)| change).collect()
}

/// Describes a change of the services that requests go to; empty if they go to the same ones.
fn moved_services(before: &RouteRow, after: &RouteRow) -> String {
    let (before, after) = (split_text(before), split_text(after));
    if before == after {
        return String::new();
    }
    format!(" and go to {after} instead of {before}")
}

fn split_text(route: &RouteRow) -> String {
    let mut parts: Vec<_> = route.parts.iter().filter(|part| part.weight > 0).collect();
    parts.sort_by(|a, b| a.service.cmp(&b.service));
    match &parts[..] {
        [] => "no service".to_owned(),
        [part] => part.service.to_string(),
        parts => {
            let texts: Vec<_> =
                parts.iter().map(|part| format!("{} ({})", part.service, part.weight)).collect();
            texts.join(", ")
        }
    }
}

fn changed_route(before: &RouteRow, after: &RouteRow) -> Option<ManifestChange> {
    let (old_split, new_split) = (split_text(before), split_text(after));
    let effect = if old_split == new_split { "" } else { "requests go to other services" };
    let fields = [
        field("name", &before.name, &after.name),
        text_field("services", old_split, new_split),
        field("kind", &before.kind, &after.kind),
        field("time-out", &before.timeout, &after.timeout),
        field("objective", &before.objective, &after.objective),
        field("attempts", &before.attempts, &after.attempts),
        field("priority", &before.priority, &after.priority),
        field("home regions", &before.homes, &after.homes),
    ];
    changed(FindingPlace::Route(after.name.clone()), fields, effect)
}

fn service_changes(old: &RouteManifest, new: &RouteManifest) -> Vec<ManifestChange> {
    let place = |row: &MeshService| FindingPlace::Service(row.name.clone());
    let note = FindingSeverity::Note;
    let removed = old.services().iter().filter(|row| new.service(&row.name).is_none());
    let mut rows: Vec<_> =
        removed.map(|row| (row, whole(place(row), ChangeKind::Removed, "", note))).collect();
    for row in new.services() {
        let change = match old.service(&row.name) {
            None => Some(whole(place(row), ChangeKind::Added, "", note)),
            Some(before) => {
                let fields = [
                    field("health path", &before.health_path, &row.health_path),
                    field("connections", &before.connections, &row.connections),
                    field("sharded", &before.sharded, &row.sharded),
                    field("warm-up", &before.warm_up, &row.warm_up),
                    field("cold terms", &before.cold, &row.cold),
                ];
                changed(place(row), fields, "")
            }
        };
        rows.extend(change.map(|change| (row, change)));
    }
    rows.sort_by(|a, b| a.0.name.cmp(&b.0.name));
    rows.into_iter().map(|(_, change)| change).collect()
}
