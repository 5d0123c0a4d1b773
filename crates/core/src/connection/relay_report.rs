//! What nodes tell each other through relays, as the last part of a datagram.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamLoad;
use crate::version::HostRecord;

/// Short form of a host's name in datagrams.
pub type HostHash = u32;

/// Returns the short form of a host's name. Two hosts with the same one share the relayed loads and
/// duties, which are hints.
#[allow(clippy::cast_possible_truncation)]
pub fn hash_host(host: &str) -> HostHash {
    xxh3_64(host.as_bytes()) as HostHash
}

/// Returns a number for a set of hosts: the wrapping sum of the hashes of their names.
pub fn cover_hosts<'a>(hosts: impl Iterator<Item = &'a str>) -> u64 {
    hosts.fold(0, |sum, host| sum.wrapping_add(xxh3_64(host.as_bytes())))
}

/// Attestations of one sharded service's holders, collected by the sender. They are for the plan end
/// in the echo of the same datagram; a row is left out while one of the holders has not attested it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttestationRow {
    /// Name of the service.
    pub service: Box<str>,
    /// Holders that attested, as [`cover_hosts`] gives them: the receiver compares them with those
    /// that its own plan names.
    pub covered: u64,
    /// Time since the oldest of the attestations, in milliseconds, when this was sent.
    pub age_ms: u64,
}

/// Load of an upstream on another host, passed on by a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedLoad {
    /// Host of the upstream.
    pub host: HostHash,
    /// Time since the host reported it, in milliseconds, when this was sent.
    pub age_ms: u32,
    /// Load, as reported.
    pub load: UpstreamLoad,
    /// The load's link time, which [`UpstreamLoad`] leaves out for earlier versions.
    pub link_ms: u32,
}

/// What nodes tell each other through relays.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RelayReport {
    /// Whether the receiver is to answer at once.
    pub wants_reply: bool,
    /// Attestations of the holders in the sender's data centre.
    pub centre: Vec<AttestationRow>,
    /// Attestations of all holders.
    pub fleet: Vec<AttestationRow>,
    /// Relays in the order in which they take up duties for the whole fleet, as the sender knows
    /// them; empty unless the sender is a relay.
    pub leaders: Vec<HostHash>,
    /// Loads of upstreams that any node may choose.
    pub loads: Vec<RelayedLoad>,
    /// Records that changed at the sender and that the receiver has not got from it.
    pub records: Vec<HostRecord>,
    /// Number of the newest change among `records`, or of the newest at all if none is left.
    pub sequence: u64,
    /// Number of the newest change that the sender has got from the receiver.
    pub seen: u64,
    /// Time since the store was last known to have no manifest that the sender has not applied, in
    /// milliseconds, when this was sent; `None` if it never was.
    pub manifest_age_ms: Option<u64>,
}
