//! Settings of a node, read from TOML.

use std::net::SocketAddr;
use std::time::Duration;

use firspindle_core::version::SpecError;
use serde::Deserialize;
use toml::Spanned;

/// Validated settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Host name, unique among the hosts.
    pub host: Box<str>,
    /// Name of the host's region.
    pub region: Box<str>,
    /// Name of the host's data centre.
    pub data_centre: Box<str>,
    /// URL of the platform's log.
    pub log: Box<str>,
    /// Peer addresses from which state is requested while the log cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// Number of threads of each server for requests, 1 to 256.
    pub workers: usize,
    /// Time for which the log keeps records, 4 s or more.
    pub log_retention: Duration,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Addresses that are published to other nodes; they differ from `listen` behind a proxy.
    pub advertise: AdvertiseSettings,
}

/// Addresses at which other nodes reach this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvertiseSettings {
    /// For requests that other nodes forward.
    pub forward: SocketAddr,
    /// For messages from other nodes.
    pub peer: SocketAddr,
}

/// Addresses that a node listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// For requests of callers.
    pub traffic: SocketAddr,
    /// For requests that other nodes forward.
    pub forward: SocketAddr,
    /// For messages from other nodes.
    pub peer: SocketAddr,
    /// For administration, metrics and announcements of the upstream.
    pub admin: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    host: Spanned<Box<str>>,
    region: Spanned<Box<str>>,
    data_centre: Spanned<Box<str>>,
    log: Spanned<Box<str>>,
    #[serde(default)]
    seeds: Vec<Spanned<Box<str>>>,
    #[serde(default = "default_workers")]
    workers: Spanned<usize>,
    #[serde(default = "default_retention")]
    log_retention_s: Spanned<u64>,
    listen: RawListen,
    #[serde(default)]
    advertise: RawAdvertise,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAdvertise {
    forward: Option<Spanned<Box<str>>>,
    peer: Option<Spanned<Box<str>>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawListen {
    traffic: Spanned<Box<str>>,
    forward: Spanned<Box<str>>,
    peer: Spanned<Box<str>>,
    admin: Spanned<Box<str>>,
}

fn default_workers() -> Spanned<usize> {
    Spanned::new(0..0, 2)
}

fn default_retention() -> Spanned<u64> {
    Spanned::new(0..0, 86_400)
}

impl NodeSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// A [`SpecError`] with the line and reason of the first invalid value.
    pub fn parse(text: &str) -> Result<Self, SpecError> {
        let raw: RawSettings =
            toml::from_str(text).map_err(|error| SpecError::from_toml(text, &error))?;
        for (field, value) in
            [("host", &raw.host), ("region", &raw.region), ("data_centre", &raw.data_centre)]
        {
            if value.get_ref().is_empty() {
                return Err(SpecError::value(text, &value.span(), field, "must not be empty"));
            }
        }
        check_log_url(text, &raw.log)?;
        check_range(text, "workers", &raw.workers, 1, 256)?;
        check_range(text, "log_retention_s", &raw.log_retention_s, 4, 365 * 86_400)?;
        let listen = check_listen(text, &raw.listen)?;
        let advertise = check_advertise(text, &raw.advertise, listen)?;
        let mut seeds = Vec::with_capacity(raw.seeds.len());
        for seed in &raw.seeds {
            seeds.push(check_address(text, "seeds", seed)?);
        }
        Ok(Self {
            host: raw.host.into_inner(),
            region: raw.region.into_inner(),
            data_centre: raw.data_centre.into_inner(),
            log: raw.log.into_inner(),
            seeds,
            workers: raw.workers.into_inner(),
            log_retention: Duration::from_secs(raw.log_retention_s.into_inner()),
            listen,
            advertise,
        })
    }
}

fn check_log_url(text: &str, log: &Spanned<Box<str>>) -> Result<(), SpecError> {
    let uri: Result<http::Uri, _> = log.get_ref().parse();
    let valid = uri.is_ok_and(|uri| uri.scheme_str() == Some("http") && uri.host().is_some());
    if valid {
        return Ok(());
    }
    Err(SpecError::value(text, &log.span(), "log", "must be an http:// URL"))
}

fn check_listen(text: &str, raw: &RawListen) -> Result<ListenSettings, SpecError> {
    let fields = [
        ("traffic", &raw.traffic),
        ("forward", &raw.forward),
        ("peer", &raw.peer),
        ("admin", &raw.admin),
    ];
    let mut addresses: Vec<SocketAddr> = Vec::new();
    for (field, value) in fields {
        let address = check_address(text, field, value)?;
        if addresses.contains(&address) {
            return Err(SpecError::value(text, &value.span(), field, "address is used twice"));
        }
        addresses.push(address);
    }
    Ok(ListenSettings {
        traffic: addresses[0],
        forward: addresses[1],
        peer: addresses[2],
        admin: addresses[3],
    })
}

fn check_advertise(
    text: &str,
    raw: &RawAdvertise,
    listen: ListenSettings,
) -> Result<AdvertiseSettings, SpecError> {
    let or_default = |value: &Option<Spanned<Box<str>>>, field, default| match value {
        Some(value) => check_address(text, field, value),
        None => Ok(default),
    };
    Ok(AdvertiseSettings {
        forward: or_default(&raw.forward, "forward", listen.forward)?,
        peer: or_default(&raw.peer, "peer", listen.peer)?,
    })
}

fn check_address(
    text: &str,
    field: &str,
    value: &Spanned<Box<str>>,
) -> Result<SocketAddr, SpecError> {
    let refuse = |reason: &str| SpecError::value(text, &value.span(), field, reason);
    let address: SocketAddr =
        value.get_ref().parse().map_err(|_| refuse("must be an IP address and a port"))?;
    if address.port() == 0 {
        return Err(refuse(
            "the port must not be 0, because other processes connect to this address",
        ));
    }
    if address.ip().is_unspecified() {
        return Err(refuse(
            "must not be the unspecified address, because other processes connect to it",
        ));
    }
    Ok(address)
}

fn check_range<T: PartialOrd + Copy + std::fmt::Display>(
    text: &str,
    field: &str,
    value: &Spanned<T>,
    low: T,
    high: T,
) -> Result<(), SpecError> {
    let number = *value.get_ref();
    if number < low || number > high {
        let reason = format!("must be from {low} to {high}, got {number}");
        return Err(SpecError::value(text, &value.span(), field, reason));
    }
    Ok(())
}
