//! What `GET /status` shows.

use std::fmt;

use firspindle_core::{LogOffset, ManifestVersion, NodeId, PartitionId, TermNumber};
use serde::{Deserialize, Serialize};

/// Status of one node.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusPage {
    /// Host.
    pub host: Box<str>,
    /// Incarnation, once joined.
    pub node: Option<NodeId>,
    /// Life of the incarnation.
    pub life: Box<str>,
    /// Planner of the term.
    pub planner: Option<NodeId>,
    /// Term.
    pub term: TermNumber,
    /// Manifest version in force.
    pub manifest_version: ManifestVersion,
    /// Id of the manifest's record.
    pub manifest_record: Box<str>,
    /// First offset that is not folded.
    pub next_offset: LogOffset,
    /// Time that the lease still runs, in milliseconds.
    pub lease_left_ms: u64,
    /// Older lines and witness sets that may still be relied on.
    pub open_history: usize,
    /// Partitions served.
    pub partitions: Vec<PartitionId>,
    /// Members in force.
    pub members: Vec<MemberStatus>,
}

/// A member on the status page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Incarnation.
    pub node: NodeId,
    /// Host.
    pub host: Box<str>,
    /// Data centre.
    pub data_centre: Box<str>,
    /// Service of its upstream.
    pub service: Box<str>,
    /// Whether it leaves.
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
