//! Records on the platform's log.

use serde::{Deserialize, Serialize};

use super::{FoldState, MemberInfo, PlanRecord};
use crate::{LogOffset, ManifestVersion, NodeId, RecordId, TermNumber};

/// One record, with the id that its writer gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Id; readers fold a repeated one once.
    pub id: RecordId,
    /// What it says.
    pub body: RecordBody,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordBody {
    /// A node joins; its id is the record's offset.
    Join(MemberInfo),
    /// A node wants to leave and takes no more partitions.
    Drain {
        /// Node that leaves.
        node: NodeId,
    },
    /// A node released all that it held and has stopped.
    Left {
        /// Node that left.
        node: NodeId,
    },
    /// A node released all that it held and goes on as another incarnation.
    Retire {
        /// Incarnation that ends.
        node: NodeId,
    },
    /// A majority of a node's witnesses promised never to grant it again.
    Revoke {
        /// Node that lapsed.
        node: NodeId,
        /// Node that holds the promises.
        prover: NodeId,
    },
    /// Nothing that an ended member was allowed can run any more.
    Quiesce {
        /// Node that ended.
        node: NodeId,
    },
    /// An operator's manifest.
    Manifest {
        /// Version that it replaces, repeated from the text.
        replaces: ManifestVersion,
        /// TOML text.
        text: Box<str>,
    },
    /// A node claims a planner's term.
    Claim {
        /// Term that it claims.
        term: TermNumber,
        /// Node that claims.
        node: NodeId,
    },
    /// A planner's decision.
    Plan(PlanRecord),
    /// The whole folded state, for readers that start.
    Checkpoint(Box<CheckpointBody>),
}

/// A folded state on the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointBody {
    /// State, folded up to and without its `next_offset`.
    pub state: FoldState,
}

impl CheckpointBody {
    /// Offset from which a reader of this checkpoint goes on.
    pub fn next_offset(&self) -> LogOffset {
        self.state.next_offset
    }
}

impl LogRecord {
    /// Encodes for the log.
    ///
    /// # Panics
    ///
    /// Never for records of this crate: all their types have an encoding.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("records always encode")
    }

    /// Decodes what [`LogRecord::encode`] gave.
    ///
    /// # Errors
    ///
    /// If the bytes are no record of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
