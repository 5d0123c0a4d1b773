//! Current and departed members of the fleet.

use serde::{Deserialize, Serialize};

use super::WitnessSet;
use crate::{LogOffset, NodeId};

/// Information that a node gives when it joins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Host name from the settings.
    pub host: Box<str>,
    /// Region of the host.
    pub region: Box<str>,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Address for messages from other nodes.
    pub peer_address: Box<str>,
    /// Address for requests forwarded by other nodes.
    pub forward_address: Box<str>,
    /// Address for requests of callers.
    pub traffic_address: Box<str>,
    /// Random id by which an incarnation recognizes its own join record.
    pub boot_id: u128,
    /// Random id of the node's process, which outlives its incarnations.
    pub process_id: u128,
    /// The upstream that the node serves.
    pub upstream: UpstreamInfo,
}

/// Information that an upstream announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// Name of the service that it runs.
    pub service: Box<str>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it refuses requests outside its grant, so that it stops when the grant expires.
    pub checks_grants: bool,
    /// Random id of the upstream's process.
    pub boot_id: u128,
}

/// A current member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Incarnation: the offset of its join record.
    pub id: NodeId,
    /// Information from its join record.
    pub info: MemberInfo,
    /// Whether it is about to leave and is assigned nothing new.
    pub draining: bool,
}

/// A departed member that assignments or witness sets still name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedRow {
    /// Incarnation: the offset of its join record.
    pub id: NodeId,
    /// Why it departed.
    pub reason: DepartReason,
    /// Offset of the record that ended it.
    pub offset: LogOffset,
    /// Whether it is certain on every node that no request which the member was allowed to run can
    /// still run. Assignments that name the member are kept until then.
    pub quiesced: bool,
    /// Information from its join record.
    pub info: MemberInfo,
}

/// A member of an older epoch of the log, as a node of a newer one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierMember {
    /// Incarnation: the offset of its join record.
    pub id: NodeId,
    /// Information from its join record.
    pub info: MemberInfo,
    /// Whether its rights have ended.
    pub ended: bool,
    /// Witness sets under which it may hold a lease.
    pub sets: Vec<WitnessSet>,
}

/// Why a member departed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartReason {
    /// It released everything that it held, wrote so itself and stopped.
    Left,
    /// It released everything that it held and continues as another incarnation of the same
    /// process.
    Retired,
    /// Its lease was revoked: a majority of its witnesses promised never to grant it again.
    Revoked,
    /// Another process holds its address, so its process has ended.
    Replaced {
        /// Whether its upstream's process has ended as well.
        upstream_ended: bool,
    },
    /// A manifest declares its host lost for good.
    Lost,
    /// The log came back from an older copy, and the member is not known to have given up its
    /// rights.
    Restored,
}

impl DepartReason {
    /// Whether the process has ended, so that it grants nothing as a witness any more.
    ///
    /// A member whose lease was revoked, or that retired, may still run and grant leases to
    /// others.
    pub const fn process_ended(self) -> bool {
        !matches!(self, Self::Revoked | Self::Retired | Self::Restored)
    }
}
