//! Settings of a mesh node, read from TOML.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use firspindle_core::version::SpecError;
use serde::Deserialize;
use toml::Spanned;

/// Bytes in a megabit.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Least rate of a link that the settings may give, in megabits a second.
const MIN_LINK_MBPS: f64 = 0.1;

/// Highest rate of a link that the settings may give, in megabits a second.
const MAX_LINK_MBPS: f64 = 1_000_000.0;

/// Part of the drain time that is reserved for requests already on their way to the upstream.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);

/// Time until a manifest is in force where the settings give none.
const DEFAULT_APPLY: Duration = Duration::from_secs(2);

/// Factor on the rate of a cold upstream where the settings give none.
const DEFAULT_COLD_FACTOR: f64 = 1.0;

/// Time for an evacuation where the settings give none.
const DEFAULT_EVACUATION: Duration = Duration::from_secs(5);

/// Memory of the process where the settings give none, in bytes: the smallest hosts of the target size.
const DEFAULT_MEMORY: u64 = 160 * BYTES_PER_MEGABYTE;

/// Bytes in a megabyte.
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Validated settings of a mesh node.
#[derive(Debug, Clone, PartialEq)]
pub struct MeshSettings {
    /// Host name, unique among the hosts.
    pub host: Box<str>,
    /// Name of the host's data centre.
    pub data_centre: Box<str>,
    /// Service that the node's upstream offers.
    pub service: Box<str>,
    /// Address of the node's upstream.
    pub upstream: SocketAddr,
    /// Address of the platform's store.
    pub store: Box<str>,
    /// Whether the system starts for the first time, so that no upstream can hold keys yet.
    pub bootstrap: bool,
    /// Addresses to listen on.
    pub listen: MeshListen,
    /// Limits that the platform sets.
    pub bounds: MeshBounds,
    /// Data centres in the order of their names, each with its region; empty if there are no regions.
    pub regions: Vec<(Box<str>, Box<str>)>,
}

impl MeshSettings {
    /// Returns the region of a data centre; `None` if the settings name none.
    pub fn region_of(&self, data_centre: &str) -> Option<&str> {
        let found = self.regions.binary_search_by(|row| (*row.0).cmp(data_centre));
        found.ok().map(|index| &*self.regions[index].1)
    }

    /// Whether a data centre is in one of these regions, given sorted. Without regions any is; a data
    /// centre whose region is not known is in none.
    pub fn is_home(&self, data_centre: &str, homes: &[Box<str>]) -> bool {
        let is_one = |region: &str| homes.binary_search_by(|row| (**row).cmp(region)).is_ok();
        homes.is_empty() || self.region_of(data_centre).is_some_and(is_one)
    }
}

/// Addresses that a node listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeshListen {
    /// For requests of callers.
    pub traffic: SocketAddr,
    /// For requests of other nodes.
    pub forward: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For heartbeats of the upstream.
    pub heartbeats: SocketAddr,
    /// For datagrams of other nodes (UDP).
    pub gossip: SocketAddr,
    /// For metrics and status.
    pub admin: SocketAddr,
}

/// Limits that the platform sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeshBounds {
    /// Time after the store acknowledged a manifest within which it is in force.
    pub apply: Duration,
    /// Time after the node acknowledged an upstream's leave in which requests may still reach it.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Longest time for which an upstream accepts a grant of keys.
    pub hold_limit: Duration,
    /// Retries allowed per request within the window, 0 or more.
    pub retry_ratio: f64,
    /// Length of the retry budget's window.
    pub retry_window: Duration,
    /// Retries allowed in a window regardless of its number of requests.
    pub retry_allowance: f64,
    /// Bytes that the host's link carries in a second; `None` if that is not known.
    pub link_rate: Option<u64>,
    /// Factor on the requests per second that a cold upstream takes, in the bound for any one second.
    pub cold_factor: f64,
    /// Requests that a cold upstream may get in one second beyond that.
    pub cold_allowance: f64,
    /// Time after an evacuation was requested within which requests may reach the data centre.
    pub evacuation: Duration,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
}

impl MeshBounds {
    /// Time from the start of a drain after which no request starts at the upstream.
    pub fn close_delay(&self) -> Duration {
        self.drain.saturating_sub(DRAIN_MARGIN)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    host: Spanned<Box<str>>,
    data_centre: Spanned<Box<str>>,
    service: Spanned<Box<str>>,
    upstream: Spanned<Box<str>>,
    store: Spanned<Box<str>>,
    #[serde(default)]
    bootstrap: bool,
    listen: RawListen,
    bounds: RawBounds,
    #[serde(default)]
    regions: BTreeMap<Box<str>, Box<str>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    traffic: Spanned<Box<str>>,
    forward: Spanned<Box<str>>,
    readiness: Spanned<Box<str>>,
    heartbeats: Spanned<Box<str>>,
    gossip: Spanned<Box<str>>,
    admin: Spanned<Box<str>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBounds {
    apply_s: Option<Spanned<f64>>,
    drain_s: Spanned<f64>,
    grace_s: Spanned<f64>,
    hold_limit_s: Spanned<f64>,
    retry_ratio: Spanned<f64>,
    retry_window_s: Spanned<f64>,
    retry_allowance: Spanned<f64>,
    link_mbps: Option<Spanned<f64>>,
    cold_over: Option<Spanned<f64>>,
    cold_slack: Option<Spanned<f64>>,
    evacuate_s: Option<Spanned<f64>>,
    memory_mb: Option<Spanned<f64>>,
}

impl MeshSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// A [`SpecError`] with the line and reason of the first invalid value.
    pub fn parse(text: &str) -> Result<Self, SpecError> {
        let raw: RawSettings =
            toml::from_str(text).map_err(|error| SpecError::from_toml(text, &error))?;
        let listen = &raw.listen;
        let bounds = &raw.bounds;
        Ok(Self {
            host: non_empty(text, "host", &raw.host)?,
            data_centre: non_empty(text, "data_centre", &raw.data_centre)?,
            service: non_empty(text, "service", &raw.service)?,
            upstream: address(text, "upstream", &raw.upstream)?,
            store: non_empty(text, "store", &raw.store)?,
            bootstrap: raw.bootstrap,
            listen: MeshListen {
                traffic: address(text, "traffic", &listen.traffic)?,
                forward: address(text, "forward", &listen.forward)?,
                readiness: address(text, "readiness", &listen.readiness)?,
                heartbeats: address(text, "heartbeats", &listen.heartbeats)?,
                gossip: address(text, "gossip", &listen.gossip)?,
                admin: address(text, "admin", &listen.admin)?,
            },
            bounds: MeshBounds {
                apply: match &bounds.apply_s {
                    Some(value) => seconds(text, "apply_s", value)?,
                    None => DEFAULT_APPLY,
                },
                drain: seconds(text, "drain_s", &bounds.drain_s)?,
                grace: seconds(text, "grace_s", &bounds.grace_s)?,
                hold_limit: seconds(text, "hold_limit_s", &bounds.hold_limit_s)?,
                retry_ratio: non_negative(text, "retry_ratio", &bounds.retry_ratio)?,
                retry_window: seconds(text, "retry_window_s", &bounds.retry_window_s)?,
                retry_allowance: non_negative(text, "retry_allowance", &bounds.retry_allowance)?,
                link_rate: match &bounds.link_mbps {
                    Some(value) => Some(link_rate(text, value)?),
                    None => None,
                },
                cold_factor: match &bounds.cold_over {
                    Some(value) => non_negative(text, "cold_over", value)?,
                    None => DEFAULT_COLD_FACTOR,
                },
                cold_allowance: match &bounds.cold_slack {
                    Some(value) => non_negative(text, "cold_slack", value)?,
                    None => 0.0,
                },
                evacuation: match &bounds.evacuate_s {
                    Some(value) => seconds(text, "evacuate_s", value)?,
                    None => DEFAULT_EVACUATION,
                },
                memory: match &bounds.memory_mb {
                    Some(value) => memory_bytes(text, value)?,
                    None => DEFAULT_MEMORY,
                },
            },
            regions: raw.regions.into_iter().collect(),
        })
    }
}

fn non_empty(text: &str, field: &str, value: &Spanned<Box<str>>) -> Result<Box<str>, SpecError> {
    if value.get_ref().is_empty() {
        return Err(SpecError::value(text, &value.span(), field, "must not be empty"));
    }
    Ok(value.get_ref().clone())
}

fn address(text: &str, field: &str, value: &Spanned<Box<str>>) -> Result<SocketAddr, SpecError> {
    let refuse = |reason: &str| SpecError::value(text, &value.span(), field, reason);
    let address: SocketAddr =
        value.get_ref().parse().map_err(|_| refuse("must be an IP address and a port"))?;
    if address.port() == 0 {
        return Err(refuse("the port must not be 0"));
    }
    Ok(address)
}

fn non_negative(text: &str, field: &str, value: &Spanned<f64>) -> Result<f64, SpecError> {
    let number = *value.get_ref();
    if number.is_finite() && number >= 0.0 {
        return Ok(number);
    }
    Err(SpecError::value(text, &value.span(), field, "must be a number of 0 or more"))
}

/// Converts megabits a second to bytes a second.
fn link_rate(text: &str, value: &Spanned<f64>) -> Result<u64, SpecError> {
    let number = *value.get_ref();
    if !(MIN_LINK_MBPS..=MAX_LINK_MBPS).contains(&number) {
        let reason = "must be megabits a second from 0.1 to 1000000";
        return Err(SpecError::value(text, &value.span(), "link_mbps", reason));
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    Ok((number * BYTES_PER_MEGABIT) as u64)
}

/// Converts megabytes to bytes.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn memory_bytes(text: &str, value: &Spanned<f64>) -> Result<u64, SpecError> {
    let number = *value.get_ref();
    if !(1.0..=1_000_000.0).contains(&number) {
        let reason = "must be megabytes from 1 to 1000000";
        return Err(SpecError::value(text, &value.span(), "memory_mb", reason));
    }
    Ok((number * BYTES_PER_MEGABYTE as f64) as u64)
}

fn seconds(text: &str, field: &str, value: &Spanned<f64>) -> Result<Duration, SpecError> {
    let number = *value.get_ref();
    let valid = number > 0.0 && number <= 86_400.0;
    if !valid {
        return Err(SpecError::value(text, &value.span(), field, "must be seconds above 0"));
    }
    Ok(Duration::from_secs_f64(number))
}
