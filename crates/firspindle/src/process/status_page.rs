//! Body of `GET /status`, and its form as text.

use std::fmt;

use firspindle_core::{LogOffset, ManifestVersion, NodeId, PartitionId, TermNumber};
use serde::{Deserialize, Serialize};

/// Status of one node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// Host name of the node.
    pub host: Box<str>,
    /// Id of the incarnation while it is a member.
    pub node: Option<NodeId>,
    /// Name of the incarnation's state in its life cycle.
    pub life: Box<str>,
    /// Planner of the current term, once there is one.
    pub planner: Option<NodeId>,
    /// Number of the current term.
    pub term: TermNumber,
    /// Manifest version in force.
    pub manifest_version: ManifestVersion,
    /// Id of the record of the manifest in force; empty without one.
    pub manifest_record: Box<str>,
    /// First offset that is not folded.
    pub next_offset: LogOffset,
    /// Remaining time of the lease, in milliseconds; 0 without a valid lease.
    pub lease_left_ms: u64,
    /// Number of superseded assignments and witness sets that are still kept.
    pub open_history: usize,
    /// Partitions that the node serves.
    pub partitions: Vec<PartitionId>,
    /// Members in force.
    pub members: Vec<MemberStatus>,
}

/// A member on the status page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Id of the incarnation.
    pub node: NodeId,
    /// Host name of the member.
    pub host: Box<str>,
    /// Data centre of its host.
    pub data_centre: Box<str>,
    /// Name of the service that its upstream offers.
    pub service: Box<str>,
    /// Whether it releases its partitions in order to leave.
    pub draining: bool,
}

impl fmt::Display for StatusPage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let node = self.node.map_or_else(|| "-".to_owned(), |node| node.to_string());
        writeln!(f, "host       {} (node {node}, {})", self.host, self.life)?;
        writeln!(f, "manifest   version {}", self.manifest_version)?;
        writeln!(f, "lease      {} ms left", self.lease_left_ms)?;
        writeln!(f, "log        next offset {}, term {}", self.next_offset, self.term)?;
        writeln!(f, "partitions {} served here", self.partitions.len())?;
        writeln!(f, "members    {}", self.members.len())?;
        for member in &self.members {
            let state = if member.draining { "draining" } else { "in force" };
            writeln!(
                f,
                "  {:>6}  {}  {}  {}  {state}",
                member.node, member.host, member.data_centre, member.service
            )?;
        }
        Ok(())
    }
}
