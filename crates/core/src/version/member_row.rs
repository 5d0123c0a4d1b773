//! Members: nodes that joined, and those that ended.

use serde::{Deserialize, Serialize};

use crate::{LogOffset, NodeId};

/// What a node says of itself when it joins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Host name from the settings.
    pub host: Box<str>,
    /// Region of the host.
    pub region: Box<str>,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Address for messages between nodes.
    pub peer_address: Box<str>,
    /// Address for requests forwarded by other nodes.
    pub forward_address: Box<str>,
    /// Address for callers.
    pub traffic_address: Box<str>,
    /// Random id of this incarnation, told by its writer.
    pub boot_id: u128,
    /// Random id of the node's process, which outlives its incarnations.
    pub process_id: u128,
    /// The upstream beside the node.
    pub upstream: UpstreamInfo,
}

/// What an upstream announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInfo {
    /// Service that it runs.
    pub service: Box<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it refuses work outside its grant.
    pub checks_grants: bool,
    /// Random id of the upstream's process.
    pub boot_id: u128,
}

/// A member in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Incarnation.
    pub id: NodeId,
    /// What it said when it joined.
    pub info: MemberInfo,
    /// Whether it asked to leave.
    pub draining: bool,
}

/// A member that ended while lines or witness sets still name it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedRow {
    /// Incarnation.
    pub id: NodeId,
    /// Why it ended.
    pub reason: DepartReason,
    /// Offset of the record that ended it.
    pub offset: LogOffset,
    /// Whether everyone may rely on its rights being over; lines that name it are kept until then.
    pub quiesced: bool,
    /// What it said when it joined.
    pub info: MemberInfo,
}

/// Why a member ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DepartReason {
    /// It released all that it held and wrote so itself.
    Left,
    /// It released all that it held and goes on as another incarnation of the same process.
    Retired,
    /// A majority of its witnesses promised never to grant it again.
    Revoked,
    /// Another process holds its address, so it has ended.
    Replaced {
        /// Whether its upstream's process has ended as well.
        upstream_ended: bool,
    },
    /// A manifest declares its host lost.
    Lost,
}

impl DepartReason {
    /// Whether the process has ended, so that it can grant nothing as a witness.
    ///
    /// A lapsed or retired holder may still run and grant others.
    pub const fn process_ended(self) -> bool {
        !matches!(self, Self::Revoked | Self::Retired)
    }
}
